package org.mangowall.http;

import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import org.mangowall.kernel.http.ResponseGrammar;
import org.mangowall.kernel.http.ResponsePart;

/**
 * Decodes responses that follow the {@link ResponseGrammar}.
 *
 * <p>The library's decoder is lenient: what it skips or repairs may make one response look like another. Here it only
 * gets bytes that were checked. What it decodes from those before an invalid byte is passed on; then follows a message
 * whose result is a failure with an {@link InvalidResponseException}, and all further bytes are dropped.
 */
public class StrictResponseDecoder extends HttpResponseDecoder {

    private static final int SCRATCH_BYTES = 512;
    private static final String DIFFERENT_END = "the message ends elsewhere than its framing tells";

    private final ResponseGrammar grammar = new ResponseGrammar();
    private final byte[] scratch = new byte[SCRATCH_BYTES];
    /** How many bytes behind the reader index of the input were checked. */
    private int checkedBytes;

    private boolean isInMessage;
    private boolean isHeadDecoded;
    private boolean hasFailed;

    /** Whether the awaited response answers a request for the head only. */
    protected boolean isResponseToHead() {
        return false;
    }

    /** Whether any byte was received since the end of the last message. */
    public final boolean hasMessageBegun() {
        return isInMessage || internalBuffer().isReadable();
    }

    @Override
    protected final boolean isContentAlwaysEmpty(HttpMessage message) {
        return isResponseToHead() || super.isContentAlwaysEmpty(message);
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf input, List<Object> output) throws Exception {
        if (hasFailed) {
            input.skipBytes(input.readableBytes());
            return;
        }
        check(input);
        if (grammar.invalidPart().isEmpty()) {
            decodeChecked(context, input, output);
        } else {
            decodeBeforeInvalid(context, input, output);
        }
    }

    private void check(ByteBuf input) {
        if (!isInMessage) {
            isInMessage = true;
            isHeadDecoded = false;
            checkedBytes = 0;
            grammar.begin(isResponseToHead());
        }
        int index = input.readerIndex() + checkedBytes;
        int end = input.writerIndex();
        while (index < end && !grammar.isComplete() && grammar.invalidPart().isEmpty()) {
            if (grammar.contentBytesLeft() > 0) {
                int content = (int) Math.min(grammar.contentBytesLeft(), end - index);
                grammar.skipContent(content);
                index += content;
            } else {
                int length = Math.min(SCRATCH_BYTES, end - index);
                input.getBytes(index, scratch, 0, length);
                index += grammar.check(scratch, 0, length);
            }
        }
        checkedBytes = index - input.readerIndex();
    }

    /** Decodes as long as there is something before the invalid byte, then fails. */
    private void decodeBeforeInvalid(ChannelHandlerContext context, ByteBuf input, List<Object> output)
            throws Exception {
        int outputBefore = output.size();
        int start = input.readerIndex();
        int end = input.writerIndex();
        if (checkedBytes > 0) {
            input.writerIndex(start + checkedBytes);
            decodeChecked(context, input, output);
            input.writerIndex(end);
        }
        if (input.readerIndex() == start && output.size() == outputBefore) {
            input.skipBytes(input.readableBytes());
            output.add(failed(grammar.invalidPart().orElseThrow(), grammar.description()));
        }
    }

    private void decodeChecked(ChannelHandlerContext context, ByteBuf input, List<Object> output) throws Exception {
        int outputBefore = output.size();
        int start = input.readerIndex();
        super.decode(context, input, output);
        checkedBytes -= input.readerIndex() - start;
        decoded(output.subList(outputBefore, output.size()), grammar.isComplete() && checkedBytes == 0);
    }

    private void decoded(List<Object> messages, boolean isAtEnd) {
        for (Object message : messages) {
            isHeadDecoded |= message instanceof HttpResponse;
            hasFailed |= ((HttpObject) message).decoderResult().isFailure();
        }
        if (hasFailed || messages.isEmpty() || !(messages.getLast() instanceof LastHttpContent last)) {
            return;
        }
        isInMessage = false;
        if (!isAtEnd) {
            last.release();
            messages.set(messages.size() - 1, failed(ResponsePart.FRAMING, DIFFERENT_END));
        }
    }

    private HttpObject failed(ResponsePart part, String description) {
        hasFailed = true;
        HttpObject message = isHeadDecoded ? new DefaultLastHttpContent() : createInvalidMessage();
        message.setDecoderResult(DecoderResult.failure(new InvalidResponseException(part, description)));
        return message;
    }

    @Override
    protected void decodeLast(ChannelHandlerContext context, ByteBuf input, List<Object> output) throws Exception {
        if (hasFailed) {
            return;
        }
        super.decodeLast(context, input, output);
        if (!output.isEmpty() && output.getLast() instanceof LastHttpContent) {
            isInMessage = false;
        }
    }
}
