package org.mangowall.edge.traffic;

import java.io.IOException;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.mangowall.edge.model.RunnerResponse;
import org.mangowall.edge.wire.HttpMessageCodec;

/** A connection to a runner; it carries one request at a time. */
final class RunnerConnection extends ChannelInboundHandlerAdapter {

    /** How long a connection is kept that has carried no answer yet. */
    private static final long UNKNOWN_IDLE_NANOS = 400_000_000L;

    private final HttpMessageCodec messages;
    private final RunnerPool pool;
    private Channel channel;
    private RunnerListener listener;
    private ChannelFuture written;
    private String expected = "";
    private boolean isSkipping;
    private boolean isAnswering;
    private boolean isTainted;
    private long idleNanos = UNKNOWN_IDLE_NANOS;
    private long idleUntil;

    RunnerConnection(HttpMessageCodec messages, RunnerPool pool) {
        this.messages = messages;
        this.pool = pool;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        channel = context.channel();
    }

    /** Sends a request; the body is retained while it is written. */
    void send(HttpRequest head, ByteBuf body, String identifier, RunnerListener newListener) {
        listener = newListener;
        expected = identifier;
        isAnswering = false;
        isSkipping = false;
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
        written = channel.writeAndFlush(request);
    }

    /** Stops reading while the caller is slower than the runner. */
    void setReading(boolean isReading) {
        channel.config().setAutoRead(isReading);
    }

    /** Gives the connection back unused. */
    void release() {
        pool.release(this);
    }

    /** Gives up the request: the runner stops when its connection closes. */
    void cancel() {
        listener = null;
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

    long idleNanos() {
        return idleNanos;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            if (listener == null) {
                // Nothing was asked, so these bytes belong to no request.
                context.close();
                return;
            }
            if (((HttpObject) message).decoderResult().isFailure()) {
                lose("the bytes are no HTTP answer");
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

    private void headReceived(HttpResponse head) {
        RunnerResponse answer = messages.readAnswer(head);
        boolean isInterim = head.status().codeClass() == HttpStatusClass.INFORMATIONAL
                && head.status().code() != HttpResponseStatus.SWITCHING_PROTOCOLS.code();
        boolean isOther =
                answer.identifier().isPresent() && !answer.identifier().get().equals(expected);
        isSkipping = isInterim || isOther;
        if (isOther) {
            isTainted = true;
        }
        if (isSkipping) {
            return;
        }
        if (isTainted && answer.identifier().isEmpty()) {
            lose("an answer without an identifier follows one that belongs elsewhere");
            return;
        }
        isAnswering = true;
        isTainted |= answer.isLastOfConnection();
        answer.idleTime().ifPresent(time -> idleNanos = time.toNanos());
        listener.answerBegan(head, answer);
    }

    private void contentReceived(HttpContent content) {
        if (isSkipping) {
            if (content instanceof LastHttpContent) {
                isSkipping = false;
            }
            return;
        }
        if (!isAnswering || listener == null) {
            return;
        }
        if (content.content().isReadable()) {
            listener.answerPart(content.content());
        }
        if (content instanceof LastHttpContent && listener != null) {
            RunnerListener ended = listener;
            listener = null;
            boolean isReusable = !isTainted && written.isSuccess() && channel.isActive();
            if (isReusable) {
                setReading(true);
                pool.release(this);
            } else {
                channel.close();
            }
            ended.answerEnded();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        pool.closed(this);
        lose("the runner closed the connection");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        String reason = cause instanceof IOException ? "the connection broke: " + cause.getMessage() : cause.toString();
        lose(reason);
        context.close();
    }

    private void lose(String reason) {
        RunnerListener lost = listener;
        listener = null;
        channel.close();
        if (lost != null) {
            lost.answerLost(reason);
        }
    }
}
