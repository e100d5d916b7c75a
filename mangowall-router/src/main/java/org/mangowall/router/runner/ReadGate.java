package org.mangowall.router.runner;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;

/**
 * Stops the reading of a connection to a runner.
 *
 * <p>Switching automatic reading off is not enough, for the client library asks for the next read itself after each
 * one. Confined to the thread of the connection.
 */
final class ReadGate extends ChannelOutboundHandlerAdapter {

    private boolean closed;
    private boolean readAsked;

    @Override
    public void read(ChannelHandlerContext context) {
        if (closed) {
            readAsked = true;
            return;
        }
        context.read();
    }

    static void set(Channel channel, boolean closed) {
        ChannelHandlerContext context = channel.pipeline().context(ReadGate.class);
        if (context != null) {
            ((ReadGate) context.handler()).set(context, closed);
        }
    }

    private void set(ChannelHandlerContext context, boolean close) {
        closed = close;
        context.channel().config().setAutoRead(!close);
        if (!close && readAsked) {
            readAsked = false;
            context.read();
        }
    }
}
