package org.mangowall.edge.traffic;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpVersion;

/** Rejects requests with ambiguous framing, which would allow request smuggling. */
final class StrictRequestDecoder extends HttpRequestDecoder {

    StrictRequestDecoder(int headerBytes) {
        super(new HttpDecoderConfig()
                .setMaxInitialLineLength(headerBytes)
                .setMaxHeaderSize(headerBytes)
                .setStrictLineParsing(true)
                .setUseRfc9112TransferEncoding(true));
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("both Content-Length and Transfer-Encoding are present");
    }

    /** Whether the head has a single host and determines the length of the body unambiguously. */
    static boolean isUnambiguous(HttpRequest head) {
        if (head.headers().getAll(HttpHeaderNames.HOST).size() > 1) {
            return false;
        }
        if (!head.headers().contains(HttpHeaderNames.TRANSFER_ENCODING)) {
            return true;
        }
        return head.protocolVersion().equals(HttpVersion.HTTP_1_1)
                && !head.headers().contains(HttpHeaderNames.CONTENT_LENGTH)
                && head.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING).size() == 1
                && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(
                        head.headers().get(HttpHeaderNames.TRANSFER_ENCODING).strip());
    }
}
