package org.mangowall.edge.traffic;

import java.util.List;
import java.util.function.IntSupplier;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;

/**
 * Rejects requests with ambiguous framing, which would allow request smuggling, and heads above the limit in force.
 *
 * <p>The limit is read whenever bytes arrive, since the library's decoder would keep the one of the time when the
 * connection was opened.
 */
final class StrictRequestDecoder extends HttpRequestDecoder {

    private final IntSupplier headerBytesLimit;
    private final RequestHeadSize headSize = new RequestHeadSize();
    private boolean isInHead = true;
    private boolean hasFailed;

    /**
     * Creates a decoder for one connection.
     *
     * @param headerBytesLimit the limit in force, in bytes: for the request line, and for the header lines together
     */
    StrictRequestDecoder(IntSupplier headerBytesLimit) {
        super(new HttpDecoderConfig()
                .setMaxInitialLineLength(Integer.MAX_VALUE)
                .setMaxHeaderSize(Integer.MAX_VALUE)
                .setStrictLineParsing(true)
                .setUseRfc9112TransferEncoding(true));
        this.headerBytesLimit = headerBytesLimit;
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf input, List<Object> output) throws Exception {
        if (hasFailed) {
            input.skipBytes(input.readableBytes());
            return;
        }
        int start = input.readerIndex();
        int outputBefore = output.size();
        super.decode(context, input, output);
        if (isInHead) {
            headSize.add(input, start, input.readerIndex());
            checkHead(input, output, outputBefore);
        }
        if (output.size() > outputBefore && output.getLast() instanceof LastHttpContent) {
            isInHead = true;
            headSize.reset();
        }
    }

    private void checkHead(ByteBuf input, List<Object> output, int outputBefore) {
        isInHead = output.size() == outputBefore;
        int incompleteLineBytes = isInHead ? input.readableBytes() : 0;
        int limit = headerBytesLimit.getAsInt();
        if (!headSize.isAbove(limit, incompleteLineBytes)) {
            return;
        }
        HttpObject head = isInHead ? createInvalidMessage() : (HttpObject) output.get(outputBefore);
        if (head.decoderResult().isSuccess()) {
            head.setDecoderResult(DecoderResult.failure(
                    new TooLongHttpHeaderException("the head is larger than " + limit + " bytes")));
        }
        if (isInHead) {
            output.add(head);
        }
        hasFailed = true;
        input.skipBytes(input.readableBytes());
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
