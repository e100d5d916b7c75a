package org.mangowall.edge.program;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import org.mangowall.edge.wire.HttpMessageCodec;

/** The caller of a rehearsal: sends one request after the other. */
final class RehearsalCaller extends SimpleChannelInboundHandler<FullHttpResponse> {

    private final HttpMessageCodec messages;
    private final Runnable served;
    private final Runnable finished;
    private int left;

    /**
     * Prepares to send.
     *
     * @param rounds how many requests to send
     * @param served hears of each request that was answered well
     * @param finished hears when all are answered or the connection is gone
     */
    RehearsalCaller(HttpMessageCodec messages, int rounds, Runnable served, Runnable finished) {
        this.messages = messages;
        this.left = rounds;
        this.served = served;
        this.finished = finished;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        next(context);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpResponse answer) {
        if (messages.readAnswer(answer).isSuccess()) {
            served.run();
        }
        next(context);
    }

    private void next(ChannelHandlerContext context) {
        if (left == 0) {
            context.close();
            return;
        }
        left -= 1;
        String path = left % 2 == 0 ? Rehearsal.STREAMS : Rehearsal.CALLS;
        HttpRequest head = messages.exampleRequest(Rehearsal.HOST_NAME, path, Rehearsal.KEY, left);
        DefaultFullHttpRequest request =
                new DefaultFullHttpRequest(head.protocolVersion(), head.method(), head.uri(), Unpooled.EMPTY_BUFFER);
        request.headers().set(head.headers());
        HttpUtil.setContentLength(request, 0);
        context.writeAndFlush(request);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        finished.run();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        context.close();
    }
}
