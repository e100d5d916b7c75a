package org.mangowall.standin.http;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.util.ReferenceCountUtil;

/** Once silenced, discards all inbound and outbound messages while the connection stays open. */
final class SilencingHandler extends ChannelDuplexHandler {

    private boolean silent;

    void silence() {
        silent = true;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (silent) {
            ReferenceCountUtil.release(message);
            return;
        }
        context.fireChannelRead(message);
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
        if (silent) {
            ReferenceCountUtil.release(message);
            promise.setSuccess();
            return;
        }
        context.write(message, promise);
    }
}
