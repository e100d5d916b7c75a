package org.mangowall.edge.traffic;

import java.util.List;
import java.util.function.BooleanSupplier;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.LastHttpContent;
import org.mangowall.http.InvalidResponseException;
import org.mangowall.http.StrictResponseDecoder;
import org.mangowall.kernel.http.StatusLineMatcher;

/**
 * Decodes responses of runners. A response without a length and without chunks is complete only if the runner ended the
 * connection in order, not after a reset or a close by this host, and if the request was written before.
 *
 * <p>A response in whose head, chunk sizes or trailers a second status line begins is invalid: one response broke off
 * there, and what follows belongs to another one.
 */
final class RunnerResponseDecoder extends StrictResponseDecoder {

    private final StatusLineMatcher statusLineMatcher = new StatusLineMatcher();
    private final BooleanSupplier isRequestWritten;
    private boolean isHeadRequest;
    private int statusLines;
    private boolean isInputEnded;

    /**
     * Creates a decoder for one connection.
     *
     * @param isRequestWritten whether the whole request was written without an error
     */
    RunnerResponseDecoder(BooleanSupplier isRequestWritten) {
        this.isRequestWritten = isRequestWritten;
    }

    /** Sets whether the next response answers a request for the head only. */
    void setHeadRequest(boolean newHeadRequest) {
        isHeadRequest = newHeadRequest;
    }

    @Override
    protected boolean isResponseToHead() {
        return isHeadRequest;
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf input, List<Object> output) throws Exception {
        int start = input.readerIndex();
        int outputBefore = output.size();
        super.decode(context, input, output);
        List<Object> decoded = output.subList(outputBefore, output.size());
        int framingBytes = input.readerIndex() - start - contentBytes(decoded);
        if (framingBytes > 0) {
            input.forEachByte(start, framingBytes, this::countStatusLine);
        }
        decoded.replaceAll(message -> checked((HttpObject) message));
    }

    private static int contentBytes(List<Object> decoded) {
        int bytes = 0;
        for (Object message : decoded) {
            if (message instanceof HttpContent content) {
                bytes += content.content().readableBytes();
            }
        }
        return bytes;
    }

    private boolean countStatusLine(byte next) {
        if (statusLineMatcher.isMatchedAt(next)) {
            statusLines += 1;
        }
        return true;
    }

    private HttpObject checked(HttpObject message) {
        boolean isJoined = statusLines > 1;
        if (message instanceof LastHttpContent) {
            statusLines = 0;
        }
        if (!isJoined || isFailedOtherwise(message)) {
            return message;
        }
        // The empty last content is a constant, whose result can't be set.
        HttpObject invalid = message == LastHttpContent.EMPTY_LAST_CONTENT ? new DefaultLastHttpContent() : message;
        invalid.setDecoderResult(DecoderResult.failure(new JoinedResponsesException()));
        return invalid;
    }

    /** Whether a message has failed for another reason than its grammar, which a joined response breaks, too. */
    private static boolean isFailedOtherwise(HttpObject message) {
        DecoderResult result = message.decoderResult();
        return result.isFailure() && !(result.cause() instanceof InvalidResponseException);
    }

    /** Whether the runner has ended the connection. */
    boolean isInputEnded() {
        return isInputEnded;
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) throws Exception {
        isInputEnded |= event instanceof ChannelInputShutdownEvent;
        super.userEventTriggered(context, event);
    }

    @Override
    protected void decodeLast(ChannelHandlerContext context, ByteBuf input, List<Object> output) throws Exception {
        if (isInputEnded && isRequestWritten.getAsBoolean()) {
            super.decodeLast(context, input, output);
        }
    }

    /** A second response begins in the framing of a first one. */
    static final class JoinedResponsesException extends CorruptedFrameException {

        private static final long serialVersionUID = 1;

        JoinedResponsesException() {
            super("a second response begins in the head, a chunk size or the trailers");
        }
    }
}
