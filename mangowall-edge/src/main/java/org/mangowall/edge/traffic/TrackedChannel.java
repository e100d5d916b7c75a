package org.mangowall.edge.traffic;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundBuffer;
import org.mangowall.edge.overload.ConnectionHolder;

/** Counts a connection whose requests are answered as they are read. */
final class TrackedChannel extends ChannelInboundHandlerAdapter implements TrackedConnection {

    private final EdgeContext context;
    private final CallerRoom room;
    private Channel channel;
    private ConnectionHolder holder;
    private long idleSince;

    TrackedChannel(EdgeContext context, CallerRoom room) {
        this.context = context;
        this.room = room;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext handlerContext) {
        channel = handlerContext.channel();
        holder = CallerRoom.holderOf(channel);
        idleSince = context.now();
        room.add(this);
    }

    @Override
    public void channelInactive(ChannelHandlerContext handlerContext) {
        room.remove(this);
        handlerContext.fireChannelInactive();
    }

    @Override
    public void channelRead(ChannelHandlerContext handlerContext, Object message) {
        idleSince = context.now();
        handlerContext.fireChannelRead(message);
    }

    @Override
    public ConnectionHolder holder() {
        return holder;
    }

    @Override
    public boolean isBusy() {
        ChannelOutboundBuffer unsent = channel.unsafe().outboundBuffer();
        return unsent != null && unsent.totalPendingWriteBytes() > 0;
    }

    @Override
    public long idleSince() {
        return idleSince;
    }

    @Override
    public void closeIfIdle() {
        if (!isBusy()) {
            channel.close();
        }
    }
}
