package org.mangowall.router.runner;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.SequencedSet;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufHolder;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.channel.CombinedChannelDuplexHandler;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import org.mangowall.http.ResetProbe;
import org.mangowall.http.StrictResponseDecoder;
import org.mangowall.kernel.http.JoinedBodyDetector;
import org.mangowall.kernel.http.StatusLineMatcher;
import org.mangowall.kernel.http.StrayPlace;

/**
 * Encodes one request at a time and decodes its response.
 *
 * <p>Bytes that a runner sends while no response is awaited, or behind a complete one, end the connection, so that they
 * never become a part of a later response. A response in whose head or body another one begins is invalid. Interim
 * responses are skipped.
 */
final class RunnerCodec extends CombinedChannelDuplexHandler<RunnerCodec.ResponseDecoder, RunnerCodec.RequestEncoder> {

    private static final int MAXIMUM_INTERIM_RESPONSES = 16;
    private static final int MAXIMUM_IDENTIFIERS = 16;

    /** Creates a codec for one connection, which reports where it found bytes that belong to no response. */
    RunnerCodec(Consumer<StrayPlace> strayBytesListener) {
        ResponseDecoder decoder = new ResponseDecoder(strayBytesListener);
        init(decoder, new RequestEncoder(decoder));
    }

    /** Encodes requests and tells the decoder to await their responses. */
    static final class RequestEncoder extends HttpRequestEncoder {

        private final ResponseDecoder decoder;

        RequestEncoder(ResponseDecoder decoder) {
            this.decoder = decoder;
        }

        @Override
        protected void encode(ChannelHandlerContext context, Object message, List<Object> out) throws Exception {
            if (message instanceof HttpRequest request) {
                decoder.awaitResponse(
                        request.method(), request.headers().get(IdentifiedAnswerKeepAliveStrategy.REQUEST_HEADER));
            }
            super.encode(context, message, out);
        }

        @Override
        public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) throws Exception {
            decoder.writeBegan(message);
            super.write(context, message, promise.unvoid().addListener(done -> decoder.writeEnded(done.isSuccess())));
        }
    }

    /** Decodes the awaited response and nothing else. */
    static final class ResponseDecoder extends StrictResponseDecoder {

        private final Consumer<StrayPlace> strayBytesListener;
        /** The method of the request whose response is awaited, or null. */
        private HttpMethod awaitedMethod;

        /** The identifiers of the last requests, of whose responses copies may still arrive. */
        private final SequencedSet<String> identifiers = new LinkedHashSet<>();

        private final StatusLineMatcher statusLineMatcher = new StatusLineMatcher();
        private int statusLines;
        private JoinedBodyDetector joinedBody;
        private boolean isInterim;
        private int interimResponses;
        private int pendingWrites;
        private boolean hasWriteFailed;
        /** The size of the request's body. */
        private int requestBytes;

        private boolean isEndOrderly;

        ResponseDecoder(Consumer<StrayPlace> strayBytesListener) {
            this.strayBytesListener = strayBytesListener;
        }

        private void awaitResponse(HttpMethod method, String identifier) {
            awaitedMethod = method;
            recordIdentifier(identifier);
            joinedBody = new JoinedBodyDetector(identifiers);
            statusLines = 0;
            interimResponses = 0;
        }

        private void writeBegan(Object message) {
            pendingWrites += 1;
            if (message instanceof HttpRequest) {
                requestBytes = 0;
            }
            requestBytes +=
                    message instanceof ByteBufHolder part ? part.content().readableBytes() : 0;
        }

        private void writeEnded(boolean isSuccess) {
            pendingWrites -= 1;
            hasWriteFailed |= !isSuccess;
        }

        private void recordIdentifier(String identifier) {
            if (identifier == null) {
                return;
            }
            if (identifiers.size() == MAXIMUM_IDENTIFIERS) {
                identifiers.removeFirst();
            }
            identifiers.add(identifier);
        }

        @Override
        protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) throws Exception {
            if (awaitedMethod == null) {
                closeForStrayBytes(context, in, StrayPlace.BETWEEN_REQUESTS);
                return;
            }
            List<Object> messages = new ArrayList<>();
            int start = in.readerIndex();
            super.decode(context, in, messages);
            countStatusLines(in, start, messages);
            messages.forEach(message -> pass(withoutJoinedBody(message, in), out));
            if (awaitedMethod == null && in.isReadable()) {
                closeForStrayBytes(context, in, StrayPlace.AFTER_RESPONSE);
            }
        }

        /** Counts the status lines in what was decoded, but for the contents, which are behind it. */
        private void countStatusLines(ByteBuf in, int start, List<Object> messages) {
            int framingBytes = in.readerIndex() - start;
            for (Object message : messages) {
                framingBytes -= message instanceof HttpContent content
                        ? content.content().readableBytes()
                        : 0;
            }
            if (framingBytes > 0) {
                in.forEachByte(start, framingBytes, next -> {
                    statusLines += statusLineMatcher.isMatchedAt(next) ? 1 : 0;
                    return true;
                });
            }
        }

        /** Returns the message, or an invalid one if another response begins in it. */
        private Object withoutJoinedBody(Object message, ByteBuf undecoded) {
            if (!(message instanceof HttpContent content) || !isJoined(content, undecoded)) {
                return message;
            }
            content.release();
            undecoded.skipBytes(undecoded.readableBytes());
            strayBytesListener.accept(StrayPlace.IN_BODY);
            HttpContent invalid = new DefaultLastHttpContent();
            refuse(invalid, "a second response in the body");
            return invalid;
        }

        /** Whether another response begins in a part of the body, or in its last bytes and goes on behind them. */
        private boolean isJoined(HttpContent content, ByteBuf undecoded) {
            boolean isLast = content instanceof LastHttpContent;
            return statusLines > 1
                    || isFoundIn(content.content())
                    || isLast && joinedBody.isInsideHead() && isFoundIn(undecoded);
        }

        private boolean isFoundIn(ByteBuf part) {
            return part.forEachByte(next -> !joinedBody.isFoundAt(next)) >= 0;
        }

        private void closeForStrayBytes(ChannelHandlerContext context, ByteBuf in, StrayPlace place) {
            in.skipBytes(in.readableBytes());
            if (context.channel().isActive()) {
                strayBytesListener.accept(place);
                context.close();
            }
        }

        private void pass(Object message, List<Object> out) {
            if (message instanceof HttpResponse head) {
                if (head.decoderResult().isSuccess()) {
                    check(head);
                }
                isInterim =
                        head.decoderResult().isSuccess() && head.status().codeClass() == HttpStatusClass.INFORMATIONAL;
            }
            boolean isLast = message instanceof LastHttpContent;
            if (isLast) {
                statusLines = 0;
            }
            if (isInterim) {
                return;
            }
            out.add(message);
            if (isLast) {
                awaitedMethod = null;
            }
        }

        private void check(HttpResponse head) {
            if (statusLines > 1) {
                strayBytesListener.accept(StrayPlace.IN_HEAD);
                refuse(head, "two heads in one");
            } else if (head.headers()
                            .getAll(IdentifiedAnswerKeepAliveStrategy.REQUEST_HEADER)
                            .size()
                    > 1) {
                refuse(head, "more than one request identifier");
            } else if (head.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
                interimResponses++;
                if (interimResponses > MAXIMUM_INTERIM_RESPONSES) {
                    refuse(head, "too many interim responses");
                }
            }
        }

        private static void refuse(HttpObject message, String reason) {
            message.setDecoderResult(DecoderResult.failure(new CorruptedFrameException(reason)));
        }

        @Override
        protected boolean isResponseToHead() {
            return HttpMethod.HEAD.equals(awaitedMethod);
        }

        /** The runner has ended the connection, which may delimit the response; else, it can't be used any more. */
        @Override
        public void userEventTriggered(ChannelHandlerContext context, Object event) throws Exception {
            if (!(event instanceof ChannelInputShutdownEvent)) {
                super.userEventTriggered(context, event);
            } else if (awaitedMethod == null || requestBytes < ResetProbe.LARGE_REQUEST_BYTES) {
                inputEnded(context);
            } else {
                context.executor()
                        .schedule(() -> inputEnded(context), ResetProbe.RESET_DELAY_MILLIS, TimeUnit.MILLISECONDS);
            }
        }

        private void inputEnded(ChannelHandlerContext context) {
            try {
                boolean isRequestWritten = pendingWrites == 0 && !hasWriteFailed;
                isEndOrderly = isRequestWritten && (requestBytes == 0 || !ResetProbe.isReset(context.channel()));
                super.userEventTriggered(context, ChannelInputShutdownEvent.INSTANCE);
            } catch (Exception failure) {
                context.fireExceptionCaught(failure);
            }
            context.close();
        }

        @Override
        protected void decodeLast(ChannelHandlerContext context, ByteBuf in, List<Object> out) throws Exception {
            if (isEndOrderly) {
                super.decodeLast(context, in, out);
            }
        }
    }
}
