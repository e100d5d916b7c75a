package org.mangowall.edge.traffic;

import java.io.IOException;
import java.util.LinkedHashSet;
import java.util.SequencedSet;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.mangowall.edge.model.RunnerResponse;
import org.mangowall.edge.wire.HttpMessageCodec;
import org.mangowall.http.InvalidResponseException;
import org.mangowall.http.ResetProbe;
import org.mangowall.kernel.http.JoinedBodyDetector;
import org.mangowall.kernel.http.StrayPlace;

/** A connection to a runner; it carries one request at a time. */
final class RunnerConnection extends ChannelInboundHandlerAdapter {

    /** Idle timeout until a response tells how long the runner keeps idle connections. */
    private static final long DEFAULT_IDLE_TIMEOUT_NANOS = 400_000_000L;

    private static final int RESET_ON_CLOSE = 0;

    private static final int MAX_IDENTIFIERS = 16;
    /** The parts of what a runner writes at once arrive within this time. */
    private static final long HOLD_MILLIS = 20;

    private static final int MAX_SKIPPED_HEADS = 100;

    /** As much as {@code RunnerAttempt} buffers of a response. */
    private static final int MAX_SKIPPED_BYTES = 1 << 20;

    private final HttpMessageCodec messages;
    private final RunnerPool pool;
    private final RunnerResponseDecoder decoder = new RunnerResponseDecoder(this::isRequestWritten);
    private Channel channel;
    private RunnerResponseListener listener;
    private ChannelFuture requestWrite;
    private String expectedIdentifier = "";
    private boolean isSkippingResponse;
    /** Whether the response is complete unless its last bytes turn out to be the start of another one. */
    private boolean isCompletionHeld;
    /** Whether the response, which the end of the connection delimits, is complete unless a reset follows. */
    private boolean isEndHeld;

    private int requestBytes;
    private int skippedHeads;
    private long skippedBytes;
    private JoinedBodyDetector joinedBody;
    /** The identifiers of the last requests, of whose responses copies may still arrive. */
    private final SequencedSet<String> identifiers = new LinkedHashSet<>();

    private boolean isReceivingResponse;
    /** Whether the connection must not carry another request. */
    private boolean isTainted;

    private boolean hasCarriedRequest;
    /** Whether the response must bear the identifier, since an earlier one may be sent once more. */
    private boolean isIdentifierRequired;

    private long idleTimeoutNanos = DEFAULT_IDLE_TIMEOUT_NANOS;
    private long idleUntil;

    RunnerConnection(HttpMessageCodec messages, RunnerPool pool) {
        this.messages = messages;
        this.pool = pool;
    }

    /** Adds the codec and this connection; the channel must allow half-closure. */
    void addTo(ChannelPipeline pipeline) {
        pipeline.addLast(new HttpRequestEncoder(), decoder, this);
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        channel = context.channel();
    }

    /** Sends a request; the body is retained until it is written. */
    void send(HttpRequest head, ByteBuf body, String identifier, RunnerResponseListener newListener) {
        listener = newListener;
        expectedIdentifier = identifier;
        isReceivingResponse = false;
        isSkippingResponse = false;
        isCompletionHeld = false;
        isEndHeld = false;
        requestBytes = body.readableBytes();
        skippedHeads = 0;
        skippedBytes = 0;
        recordIdentifier(identifier);
        joinedBody = new JoinedBodyDetector(identifiers);
        isIdentifierRequired = hasCarriedRequest;
        decoder.setHeadRequest(HttpMethod.HEAD.equals(head.method()));
        if (body.isReadable() || head.headers().contains(HttpHeaderNames.CONTENT_LENGTH)) {
            head.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
        }
        DefaultFullHttpRequest request = new DefaultFullHttpRequest(
                head.protocolVersion(),
                head.method(),
                head.uri(),
                body.retainedDuplicate(),
                head.headers(),
                EmptyHttpHeaders.INSTANCE);
        requestWrite = channel.writeAndFlush(request);
    }

    private void recordIdentifier(String identifier) {
        if (identifier.isEmpty()) {
            return;
        }
        if (identifiers.size() == MAX_IDENTIFIERS) {
            identifiers.removeFirst();
        }
        identifiers.add(identifier);
    }

    /** Sends a call of this host itself; runners don't repeat the identifier in its response. */
    void call(FullHttpRequest call, String identifier, RunnerResponseListener newListener) {
        send(call, call.content(), identifier, newListener);
        isIdentifierRequired = false;
    }

    /** Whether the request was written without an error. */
    boolean isRequestWritten() {
        return requestWrite != null && requestWrite.isSuccess();
    }

    /** Resumes or pauses reading, for back pressure while the caller is slower than the runner. */
    void setReading(boolean isReading) {
        channel.config().setAutoRead(isReading);
    }

    /** Returns the connection to the pool without having sent a request. */
    void release() {
        pool.release(this);
    }

    /**
     * Cancels the request by a reset: the runner stops, and what still waits to be sent never reaches it. An orderly
     * close would deliver the whole request later, and the runner would run it for nobody.
     */
    void cancel() {
        listener = null;
        isCompletionHeld = false;
        isEndHeld = false;
        if (channel.isActive()) {
            channel.config().setOption(ChannelOption.SO_LINGER, RESET_ON_CLOSE);
        }
        channel.close();
    }

    boolean isOpen() {
        return channel.isActive();
    }

    void close() {
        channel.close();
    }

    long idleUntil() {
        return idleUntil;
    }

    void setIdleUntil(long nanos) {
        idleUntil = nanos;
    }

    long idleTimeoutNanos() {
        return idleTimeoutNanos;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            if (listener == null) {
                endAfterStrayBytes();
                return;
            }
            if (isCompletionHeld) {
                failAfterJoinedBody();
                return;
            }
            DecoderResult result = ((HttpObject) message).decoderResult();
            if (result.isFailure()) {
                if (result.cause() instanceof RunnerResponseDecoder.JoinedResponsesException) {
                    pool.strayBytesReceived(StrayPlace.IN_HEAD);
                }
                fail("invalid HTTP response: " + describe(result.cause()));
                return;
            }
            if (message instanceof HttpResponse head) {
                headReceived(head);
            }
            if (message instanceof HttpContent content) {
                contentReceived(content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private static String describe(Throwable cause) {
        return cause instanceof InvalidResponseException
                ? cause.getMessage()
                : cause.getClass().getSimpleName();
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        if (isCompletionHeld && decoder.hasMessageBegun()) {
            failAfterJoinedBody();
        } else if (listener == null && decoder.hasMessageBegun()) {
            endAfterStrayBytes();
        }
        context.fireChannelReadComplete();
    }

    /** Closes an idle connection, since what was received would become the beginning of the next response. */
    private void endAfterStrayBytes() {
        if (channel.isActive()) {
            pool.strayBytesReceived(StrayPlace.BETWEEN_REQUESTS);
            channel.close();
        }
    }

    private void headReceived(HttpResponse head) {
        RunnerResponse response = messages.readResponse(head);
        boolean isInterim = head.status().codeClass() == HttpStatusClass.INFORMATIONAL
                && head.status().code() != HttpResponseStatus.SWITCHING_PROTOCOLS.code();
        boolean isForOtherRequest = response.identifier().isPresent()
                && !response.identifier().get().equals(expectedIdentifier);
        isSkippingResponse = isInterim || isForOtherRequest;
        if (isForOtherRequest) {
            isTainted = true;
            listener.strayResponseReceived(response);
            if (ResponseFraming.of(head) == ResponseFraming.CONNECTION_END) {
                fail("a response to another request lasts until the end of the connection");
                return;
            }
        }
        if (isSkippingResponse) {
            skippedHeads += 1;
            if (skippedHeads > MAX_SKIPPED_HEADS) {
                fail("interim responses or responses to other requests without end");
            }
            return;
        }
        if ((isTainted || isIdentifierRequired) && response.identifier().isEmpty()) {
            fail("a response on a kept connection has no request identifier");
            return;
        }
        isReceivingResponse = true;
        joinedBody = new JoinedBodyDetector(identifiers);
        isTainted |= response.isConnectionClosing();
        response.idleTimeout().ifPresent(time -> idleTimeoutNanos = time.toNanos());
        listener.headReceived(head, response);
    }

    /** Skips a part of a response to another request, unless the response to this one begins in it. */
    private void skip(HttpContent content) {
        skippedBytes += content.content().readableBytes();
        boolean isLast = content instanceof LastHttpContent;
        if (isJoined(content.content())) {
            pool.strayBytesReceived(StrayPlace.IN_BODY);
            fail("the response begins in the body of a response to another request");
        } else if (skippedBytes > MAX_SKIPPED_BYTES) {
            fail("a response to another request has no end");
        }
        isSkippingResponse = !isLast;
    }

    private void contentReceived(HttpContent content) {
        if (isSkippingResponse) {
            skip(content);
            return;
        }
        if (!isReceivingResponse || listener == null) {
            return;
        }
        if (isJoined(content.content())) {
            failAfterJoinedBody();
            return;
        }
        if (content.content().isReadable()) {
            listener.bodyReceived(content.content());
        }
        if (content instanceof LastHttpContent && listener != null) {
            lastContentReceived();
        }
    }

    /** Whether the body ends in another response's head shows in what arrives right behind it. */
    private void lastContentReceived() {
        if (joinedBody.isInsideHead() && decoder.hasMessageBegun()) {
            failAfterJoinedBody();
        } else if (decoder.isInputEnded() && requestBytes > 0) {
            endReceived();
        } else if (joinedBody.isLikelyInsideHead()) {
            isCompletionHeld = true;
            channel.eventLoop().schedule(this::completeHeld, HOLD_MILLIS, TimeUnit.MILLISECONDS);
        } else {
            complete();
        }
    }

    /**
     * The runner has ended the connection behind the response to a request with a body. If it didn't read the whole
     * body, a reset follows, and the response is as incomplete as if the reset had come first.
     */
    private void endReceived() {
        if (requestBytes < ResetProbe.LARGE_REQUEST_BYTES) {
            completeUnlessReset();
            return;
        }
        isEndHeld = true;
        channel.eventLoop().schedule(this::completeHeldEnd, ResetProbe.RESET_DELAY_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void completeHeldEnd() {
        if (isEndHeld) {
            isEndHeld = false;
            completeUnlessReset();
        }
    }

    private void completeUnlessReset() {
        try {
            if (ResetProbe.isReset(channel)) {
                fail("the runner ended the connection before it had read the request");
                return;
            }
        } catch (IOException failure) {
            fail("whether the connection was reset can't be determined: " + failure.getMessage());
            return;
        }
        complete();
    }

    /** Whether another response begins in a part of the body. */
    private boolean isJoined(ByteBuf part) {
        return part.forEachByte(next -> !joinedBody.isFoundAt(next)) >= 0;
    }

    private void completeHeld() {
        if (isCompletionHeld) {
            complete();
        }
    }

    private void failAfterJoinedBody() {
        isCompletionHeld = false;
        pool.strayBytesReceived(StrayPlace.IN_BODY);
        fail("a second response begins in the body");
    }

    private void complete() {
        RunnerResponseListener completed = listener;
        listener = null;
        isCompletionHeld = false;
        hasCarriedRequest = true;
        if (decoder.hasMessageBegun()) {
            pool.strayBytesReceived(StrayPlace.AFTER_RESPONSE);
            isTainted = true;
        }
        boolean isReusable = !isTainted && !decoder.isInputEnded() && requestWrite.isSuccess() && channel.isActive();
        if (isReusable) {
            setReading(true);
            pool.release(this);
        } else {
            channel.close();
        }
        completed.responseCompleted();
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event instanceof ChannelInputShutdownEvent && !isEndHeld) {
            fail("the runner closed the connection");
        }
        context.fireUserEventTriggered(event);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        pool.closed(this);
        fail("the connection was closed");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        String reason = cause instanceof IOException ? "connection failed: " + cause.getMessage() : cause.toString();
        fail(reason);
        context.close();
    }

    private void fail(String reason) {
        completeHeld();
        isEndHeld = false;
        RunnerResponseListener failed = listener;
        listener = null;
        channel.close();
        if (failed != null) {
            failed.connectionLost(reason);
        }
    }
}
