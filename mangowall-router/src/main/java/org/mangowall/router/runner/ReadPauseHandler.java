package org.mangowall.router.runner;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;

/**
 * Pauses and resumes reading from the connection to a runner.
 *
 * <p>Disabling auto-read is not enough, because the client library requests the next read itself after each one.
 * Confined to the event loop of the connection.
 */
final class ReadPauseHandler extends ChannelOutboundHandlerAdapter {

    private boolean paused;
    private boolean readPending;

    @Override
    public void read(ChannelHandlerContext context) {
        if (paused) {
            readPending = true;
            return;
        }
        context.read();
    }

    static void setPaused(Channel channel, boolean paused) {
        ChannelHandlerContext context = channel.pipeline().context(ReadPauseHandler.class);
        if (context != null) {
            ((ReadPauseHandler) context.handler()).setPaused(context, paused);
        }
    }

    private void setPaused(ChannelHandlerContext context, boolean pause) {
        paused = pause;
        context.channel().config().setAutoRead(!pause);
        if (!pause && readPending) {
            readPending = false;
            context.read();
        }
    }
}
