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

/** A connection to another host that carries length-prefixed messages. */
final class PeerChannel extends SimpleChannelInboundHandler<ByteBuf> {

    private static final int LENGTH_BYTES = 4;

    private final Receiver receiver;
    private Channel channel;

    PeerChannel(Receiver receiver) {
        this.receiver = receiver;
    }

    /** Receives the messages and the end of a connection. */
    interface Receiver {

        /** A message was received. */
        void received(PeerChannel from, HostMessage message);

        /** The connection was closed. */
        void closed(PeerChannel gone);

        /** Invalid data was received, or the connection failed; it is closed after this call. */
        void invalidMessageReceived(PeerChannel from, String reason);
    }

    void install(Channel newChannel) {
        newChannel
                .pipeline()
                .addLast(
                        new LengthFieldBasedFrameDecoder(PeerCodec.MAX_MESSAGE_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES),
                        new LengthFieldPrepender(LENGTH_BYTES),
                        this);
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        channel = context.channel();
    }

    void send(HostMessage message) {
        send(PeerCodec.encode(message));
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
        } catch (MangowallException invalid) {
            receiver.invalidMessageReceived(this, invalid.getMessage());
            context.close();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        receiver.closed(this);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        receiver.invalidMessageReceived(this, String.valueOf(cause));
        context.close();
    }
}
