package org.mangowall.edge.peer;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import org.mangowall.kernel.failure.MangowallException;

/** One end of a connection between two hosts. */
final class PeerChannel extends SimpleChannelInboundHandler<ByteBuf> {

    private static final int LENGTH_BYTES = 4;
    /** A whole configuration fits. */
    private static final int MOST_FRAME_BYTES = 8 << 20;

    private final Receiver receiver;
    private Channel channel;

    PeerChannel(Receiver receiver) {
        this.receiver = receiver;
    }

    /** Hears what comes on a connection. */
    interface Receiver {

        /** A message came. */
        void received(PeerChannel from, PeerNews news);

        /** The connection is closed. */
        void closed(PeerChannel gone);

        /** Bytes came that are no message; the connection is closed. */
        void unreadable(PeerChannel from, String reason);
    }

    void install(Channel newChannel) {
        newChannel
                .pipeline()
                .addLast(
                        new LengthFieldBasedFrameDecoder(MOST_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES),
                        new LengthFieldPrepender(LENGTH_BYTES),
                        this);
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        channel = context.channel();
    }

    void send(PeerNews news) {
        send(PeerCodec.encode(news));
    }

    void send(byte[] encoded) {
        channel.writeAndFlush(Unpooled.wrappedBuffer(encoded), channel.voidPromise());
    }

    boolean isWritable() {
        return channel.isActive() && channel.isWritable();
    }

    void close() {
        channel.close();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) {
        try {
            receiver.received(this, PeerCodec.decode(ByteBufUtil.getBytes(frame)));
        } catch (MangowallException unreadable) {
            receiver.unreadable(this, unreadable.getMessage());
            context.close();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        receiver.closed(this);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        receiver.unreadable(this, String.valueOf(cause));
        context.close();
    }
}
