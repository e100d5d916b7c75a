package org.mangowall.standin.http;

import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import org.mangowall.kernel.failure.MangowallException;
import org.mangowall.kernel.log.ComponentLog;

/** Dispatches Netty requests to an {@link ExchangeHandler} and maps its typed exceptions to error responses. */
final class ExchangeDispatcher extends SimpleChannelInboundHandler<FullHttpRequest> {

    private static final ComponentLog LOG = ComponentLog.of("standin");

    private final ExchangeHandler handler;

    ExchangeDispatcher(ExchangeHandler handler) {
        this.handler = handler;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
        if (!request.decoderResult().isSuccess()) {
            context.close();
            return;
        }
        HttpExchange exchange = new HttpExchange(
                context.channel(),
                request.method().name(),
                request.uri(),
                request.headers().copy(),
                ByteBufUtil.getBytes(request.content()));
        try {
            handler.handle(exchange);
        } catch (MangowallException failure) {
            exchange.respondText(failure.failureCode().httpStatus(), failure.getMessage());
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        LOG.debug("connection failed: %s", cause);
        context.close();
    }
}
