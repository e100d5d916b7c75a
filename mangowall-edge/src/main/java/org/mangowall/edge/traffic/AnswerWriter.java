package org.mangowall.edge.traffic;

import java.util.Set;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import org.mangowall.kernel.failure.FailureCode;

/** Writes the one answer of a request to its caller. */
final class AnswerWriter {

    private final Channel channel;
    private final HttpMethod method;
    private final boolean mayChunk;
    private boolean isKept;
    private boolean hasBegun;

    AnswerWriter(Channel channel, HttpMethod method, HttpVersion version, boolean isKept) {
        this.channel = channel;
        this.method = method;
        this.mayChunk = version.equals(HttpVersion.HTTP_1_1);
        this.isKept = isKept;
    }

    boolean hasBegun() {
        return hasBegun;
    }

    /** Whether the connection can carry another request after this answer. */
    boolean isKept() {
        return isKept;
    }

    /** Writes a part of an answer whose length isn't known. */
    void part(HttpResponse answer, ByteBuf bytes) {
        beginParts(answer);
        channel.writeAndFlush(new DefaultHttpContent(bytes));
    }

    /** Writes the last part. */
    void end(HttpResponse answer, ByteBuf rest) {
        beginParts(answer);
        channel.writeAndFlush(new DefaultLastHttpContent(rest));
    }

    private void beginParts(HttpResponse answer) {
        if (hasBegun) {
            return;
        }
        hasBegun = true;
        HttpHeaders headers = endToEnd(answer);
        headers.remove(HttpHeaderNames.CONTENT_LENGTH);
        if (mayChunk) {
            headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        } else {
            isKept = false;
        }
        markClosing(headers);
        channel.write(new DefaultHttpResponse(HttpVersion.HTTP_1_1, answer.status(), headers));
    }

    /** Writes an answer that is complete. */
    void whole(HttpResponse answer, ByteBuf bytes) {
        hasBegun = true;
        HttpHeaders headers = endToEnd(answer);
        boolean hasNoBody = method.equals(HttpMethod.HEAD)
                || answer.status().code() == 204
                || answer.status().code() == 304;
        if (!hasNoBody) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, bytes.readableBytes());
        }
        markClosing(headers);
        channel.writeAndFlush(new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, answer.status(), bytes, headers, EmptyHttpHeaders.INSTANCE));
    }

    /** Writes an answer of this host. */
    void refuse(FailureCode code, double retryAfterMillis) {
        hasBegun = true;
        channel.writeAndFlush(Refusal.answer(code, retryAfterMillis, !isKept));
    }

    private static HttpHeaders endToEnd(HttpResponse answer) {
        HttpHeaders headers = answer.headers().copy();
        HopByHopHeaders.remove(headers, Set.of());
        return headers;
    }

    private void markClosing(HttpHeaders headers) {
        if (!isKept) {
            headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
    }
}
