package org.mangowall.standin.http;

import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import org.mangowall.kernel.failure.MangowallException;
import org.mangowall.kernel.log.PartLog;

/** Turns Netty's messages into calls, and typed failures of the handler into answers. */
final class CallAdapter extends SimpleChannelInboundHandler<FullHttpRequest> {

    private static final PartLog LOG = PartLog.of("standin");

    private final CallHandler handler;

    CallAdapter(CallHandler handler) {
        this.handler = handler;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
        if (!request.decoderResult().isSuccess()) {
            context.close();
            return;
        }
        HttpCall call = new HttpCall(
                context.channel(),
                request.method().name(),
                request.uri(),
                request.headers().copy(),
                ByteBufUtil.getBytes(request.content()));
        try {
            handler.handle(call);
        } catch (MangowallException failure) {
            call.answerText(failure.failureCode().httpStatus(), failure.getMessage());
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        LOG.debug("connection broke: %s", cause);
        context.close();
    }
}
