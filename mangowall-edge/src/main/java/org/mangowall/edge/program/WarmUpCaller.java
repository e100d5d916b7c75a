package org.mangowall.edge.program;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import org.mangowall.edge.wire.HttpMessageCodec;

/** The synthetic caller of a warm-up: sends one request at a time. */
final class WarmUpCaller extends SimpleChannelInboundHandler<FullHttpResponse> {

    private final HttpMessageCodec messages;
    private final Runnable successListener;
    private final Runnable closeListener;
    private int remaining;

    /**
     * Creates a caller that sends its first request when it is connected.
     *
     * @param requestCount how many requests to send
     * @param successListener called for each successful response
     * @param closeListener called when the connection is closed, after the last response or a failure
     */
    WarmUpCaller(HttpMessageCodec messages, int requestCount, Runnable successListener, Runnable closeListener) {
        this.messages = messages;
        this.remaining = requestCount;
        this.successListener = successListener;
        this.closeListener = closeListener;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        sendNext(context);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
        if (messages.readResponse(response).isSuccess()) {
            successListener.run();
        }
        sendNext(context);
    }

    private void sendNext(ChannelHandlerContext context) {
        if (remaining == 0) {
            context.close();
            return;
        }
        remaining -= 1;
        String path = remaining % 2 == 0 ? JvmWarmUp.STREAM_PREFIX : JvmWarmUp.CALL_PREFIX;
        HttpRequest head = messages.exampleRequest(JvmWarmUp.HOST_NAME, path, JvmWarmUp.KEY, remaining);
        DefaultFullHttpRequest request =
                new DefaultFullHttpRequest(head.protocolVersion(), head.method(), head.uri(), Unpooled.EMPTY_BUFFER);
        request.headers().set(head.headers());
        HttpUtil.setContentLength(request, 0);
        context.writeAndFlush(request);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        closeListener.run();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        context.close();
    }
}
