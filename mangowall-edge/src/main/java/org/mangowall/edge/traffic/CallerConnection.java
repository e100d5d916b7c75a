package org.mangowall.edge.traffic;

import java.util.ArrayDeque;
import java.util.Deque;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.mangowall.edge.model.CallerLimits;
import org.mangowall.edge.model.RouteTable;
import org.mangowall.kernel.failure.FailureCode;

/** A caller's connection: reads whole requests and has them answered one after the other. */
final class CallerConnection extends ChannelInboundHandlerAdapter {

    /** Parts of further requests that wait while one is answered; more than that is no sensible pipelining. */
    private static final int MOST_WAITING_PARTS = 256;

    private final EdgeContext context;
    private final RunnerConnections runners;
    private final CallerConnections all;
    private final Deque<HttpObject> waiting = new ArrayDeque<>();
    private Channel channel;
    private HttpRequest head;
    private ByteBuf body;
    private Exchange exchange;
    private boolean isClosing;
    private long quietSince;
    private long readingSince;

    CallerConnection(EdgeContext context, RunnerConnections runners, CallerConnections all) {
        this.context = context;
        this.runners = runners;
        this.all = all;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext handlerContext) {
        channel = handlerContext.channel();
        quietSince = context.now();
        all.add(this);
    }

    @Override
    public void channelInactive(ChannelHandlerContext handlerContext) {
        all.remove(this);
        dropInput();
        if (exchange != null) {
            Exchange left = exchange;
            exchange = null;
            left.callerLeft();
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext handlerContext, Object message) {
        if (isClosing) {
            ReferenceCountUtil.release(message);
            return;
        }
        if (exchange == null) {
            read((HttpObject) message);
            return;
        }
        if (waiting.size() >= MOST_WAITING_PARTS) {
            ReferenceCountUtil.release(message);
            channel.close();
            return;
        }
        waiting.addLast((HttpObject) message);
    }

    /** The first bytes of a request arrived. */
    void bytesArrived() {
        if (exchange == null && readingSince == 0) {
            readingSince = context.now();
        }
    }

    private void read(HttpObject message) {
        try {
            if (message.decoderResult().isFailure()) {
                refuse(failureOf(message.decoderResult().cause()));
                return;
            }
            if (message instanceof HttpRequest request) {
                beginRequest(request);
            }
            if (message instanceof HttpContent content && head != null) {
                addBody(content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private static FailureCode failureOf(Throwable cause) {
        return cause instanceof TooLongFrameException ? FailureCode.HEADERS_TOO_LARGE : FailureCode.MALFORMED_REQUEST;
    }

    private CallerLimits limits() {
        return context.table().map(RouteTable::limits).orElse(CallerLimits.DEFAULT);
    }

    private void beginRequest(HttpRequest request) {
        if (!StrictRequestDecoder.isUnambiguous(request)) {
            refuse(FailureCode.MALFORMED_REQUEST);
            return;
        }
        if (HttpUtil.getContentLength(request, 0L) > limits().bodyBytes()) {
            refuse(FailureCode.BODY_TOO_LARGE);
            return;
        }
        head = request;
        body = channel.alloc().buffer();
        if (HttpUtil.is100ContinueExpected(request)) {
            channel.writeAndFlush(new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
        }
    }

    private void addBody(HttpContent content) {
        if (body.readableBytes() + content.content().readableBytes() > limits().bodyBytes()) {
            refuse(FailureCode.BODY_TOO_LARGE);
            return;
        }
        body.writeBytes(content.content());
        if (content instanceof LastHttpContent) {
            HttpRequest request = head;
            ByteBuf whole = body;
            head = null;
            body = null;
            readingSince = 0;
            exchange = new Exchange(context, runners, this, request, whole);
            exchange.begin();
        }
    }

    /** Turns away what can't be read; the rest of the input has no known begin. */
    private void refuse(FailureCode code) {
        context.metrics().answered("none", code.code());
        context.log().write("refused", line -> {
            line.writeStringField("code", code.code());
            line.writeStringField("caller", String.valueOf(channel.remoteAddress()));
        });
        close(Refusal.answer(code, 0, true));
    }

    private void close(FullHttpResponse last) {
        isClosing = true;
        dropInput();
        channel.writeAndFlush(last).addListener(ChannelFutureListener.CLOSE);
    }

    private void dropInput() {
        head = null;
        if (body != null) {
            body.release();
            body = null;
        }
        waiting.forEach(ReferenceCountUtil::release);
        waiting.clear();
    }

    Channel channel() {
        return channel;
    }

    /** The answer is complete; the connection goes on with the next request unless it closes. */
    void answered(boolean isKept) {
        exchange = null;
        quietSince = context.now();
        if (!isKept || context.lifecycle().isRefusing() && waiting.isEmpty()) {
            isClosing = true;
            dropInput();
            channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
            return;
        }
        while (exchange == null && !isClosing && !waiting.isEmpty()) {
            read(waiting.pollFirst());
        }
    }

    /** Ends the connection so that the caller sees that its answer isn't complete. */
    void cut() {
        isClosing = true;
        exchange = null;
        dropInput();
        channel.close();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext handlerContext) {
        if (exchange != null) {
            exchange.callerWritable(channel.isWritable());
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext handlerContext, Throwable cause) {
        context.log().write("caller-connection-failed", line -> line.writeStringField("reason", String.valueOf(cause)));
        handlerContext.close();
    }

    /** Closes the connection when a request takes too long to arrive or none comes. */
    void checkTimes(long now) {
        if (exchange != null || isClosing) {
            return;
        }
        CallerLimits limits = limits();
        if (readingSince != 0) {
            if (now - readingSince > limits.readTime().toNanos()) {
                refuse(FailureCode.REQUEST_READ_TIMEOUT);
            }
            return;
        }
        if (now - quietSince > limits.idleTime().toNanos()) {
            channel.close();
        }
    }

    /** Closes the connection if no request is under way or arriving. */
    void closeIfQuiet() {
        if (exchange == null && readingSince == 0 && waiting.isEmpty()) {
            channel.close();
        }
    }

    boolean isBusy() {
        return exchange != null;
    }
}
