package org.mangowall.edge.traffic;

import java.util.Set;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import org.mangowall.kernel.failure.FailureCode;

/** Writes the response to a request to its caller. */
final class ResponseWriter {

    private static final int RESET_ON_CLOSE = 0;
    private static final int ORDERLY_CLOSE = -1;

    private final Channel channel;
    private final HttpMethod method;
    private final boolean canChunk;
    private boolean isKeepAlive;
    private boolean hasStarted;

    ResponseWriter(Channel channel, HttpMethod method, HttpVersion version, boolean isKeepAlive) {
        this.channel = channel;
        this.method = method;
        this.canChunk = version.equals(HttpVersion.HTTP_1_1);
        this.isKeepAlive = isKeepAlive;
    }

    boolean hasStarted() {
        return hasStarted;
    }

    /** Whether the connection stays open for another request after this response. */
    boolean isKeepAlive() {
        return isKeepAlive;
    }

    /** Writes part of a response of unknown length. */
    void writePart(HttpResponse response, ByteBuf bytes) {
        writeHeadOnce(response);
        channel.writeAndFlush(new DefaultHttpContent(bytes));
    }

    /** Ends a response of unknown length. */
    void writeEnd(HttpResponse response) {
        writeHeadOnce(response);
        channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT).addListener(written -> {
            if (written.isSuccess() && !canChunk) {
                channel.config().setOption(ChannelOption.SO_LINGER, ORDERLY_CLOSE);
            }
        });
    }

    private void writeHeadOnce(HttpResponse response) {
        if (hasStarted) {
            return;
        }
        hasStarted = true;
        HttpHeaders headers = endToEndHeaders(response);
        headers.remove(HttpHeaderNames.CONTENT_LENGTH);
        if (canChunk) {
            headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        } else {
            isKeepAlive = false;
            // The end of the connection ends this response, so until it is complete, every close must be a reset.
            channel.config().setOption(ChannelOption.SO_LINGER, RESET_ON_CLOSE);
        }
        addConnectionClose(headers);
        channel.write(new DefaultHttpResponse(HttpVersion.HTTP_1_1, response.status(), headers));
    }

    /** Writes a complete response. */
    void writeComplete(HttpResponse response, ByteBuf bytes) {
        hasStarted = true;
        HttpHeaders headers = endToEndHeaders(response);
        boolean hasNoBody = method.equals(HttpMethod.HEAD)
                || response.status().code() == 204
                || response.status().code() == 304;
        if (!hasNoBody) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, bytes.readableBytes());
        }
        addConnectionClose(headers);
        channel.writeAndFlush(new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, response.status(), bytes, headers, EmptyHttpHeaders.INSTANCE));
    }

    /** Writes an error response of this host. */
    void writeProblem(FailureCode code, double retryAfterMillis) {
        hasStarted = true;
        channel.writeAndFlush(ProblemResponse.create(code, retryAfterMillis, !isKeepAlive));
    }

    private static HttpHeaders endToEndHeaders(HttpResponse response) {
        HttpHeaders headers = response.headers().copy();
        HopByHopHeaders.remove(headers, Set.of());
        return headers;
    }

    private void addConnectionClose(HttpHeaders headers) {
        if (!isKeepAlive) {
            headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
    }
}
