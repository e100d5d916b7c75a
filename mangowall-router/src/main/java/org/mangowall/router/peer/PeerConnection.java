package org.mangowall.router.peer;

import java.util.concurrent.atomic.AtomicInteger;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import org.mangowall.kernel.name.RequestIdentifier;
import org.mangowall.protocol.MessageType;
import org.mangowall.protocol.PeerFrame;
import org.mangowall.protocol.PeerFrameCodec;
import org.mangowall.protocol.PeerMessage;
import org.mangowall.router.metrics.RouterMetrics;
import org.mangowall.router.runner.AnswerOrigin;

/** One connection to another router; thread-safe. */
public final class PeerConnection implements AnswerOrigin {

    private final Channel channel;
    private final RouterMetrics metrics;
    private final boolean outgoing;
    private final AtomicInteger openRequests = new AtomicInteger();
    private volatile long epoch;
    private volatile PeerMessage.Hello remoteHello;

    PeerConnection(Channel channel, RouterMetrics metrics, boolean outgoing, long epoch) {
        this.channel = channel;
        this.metrics = metrics;
        this.outgoing = outgoing;
        this.epoch = epoch;
    }

    /** Returns the hello message of the other router; null until it has arrived. */
    public PeerMessage.Hello remoteHello() {
        return remoteHello;
    }

    /** Whether this router opened the connection. */
    public boolean isOutgoing() {
        return outgoing;
    }

    /** Whether the send buffer has room for more data. */
    public boolean isWritable() {
        return channel.isWritable();
    }

    /** Whether the connection is open; a closed one never opens again. */
    public boolean isActive() {
        return channel.isActive();
    }

    /** Adds a request that depends on this connection. */
    public void requestOpened() {
        openRequests.incrementAndGet();
    }

    /** Removes a request that no longer depends on this connection. */
    public void requestClosed() {
        openRequests.decrementAndGet();
    }

    /**
     * Sends a message.
     *
     * @return false when the connection is closed; true does not guarantee delivery
     */
    public boolean send(PeerMessage message) {
        if (!channel.isActive()) {
            return false;
        }
        byte[] bytes = PeerFrameCodec.encode(new PeerFrame(epoch, message));
        ByteBuf length = channel.alloc().buffer(PeerFrameCodec.LENGTH_BYTES).writeInt(bytes.length);
        metrics.frameSent(MessageType.of(message), bytes.length + PeerFrameCodec.LENGTH_BYTES);
        channel.writeAndFlush(Unpooled.wrappedBuffer(length, Unpooled.wrappedBuffer(bytes)));
        return true;
    }

    @Override
    public void updateTakenBytes(RequestIdentifier request, long takenBytes) {
        send(new PeerMessage.AnswerFlow(request, takenBytes));
    }

    /** Closes the connection asynchronously. */
    public void close() {
        channel.close();
    }

    int openRequests() {
        return openRequests.get();
    }

    long epoch() {
        return epoch;
    }

    void helloReceived(PeerMessage.Hello hello, long connectionEpoch) {
        epoch = connectionEpoch;
        remoteHello = hello;
    }

    @Override
    public String toString() {
        PeerMessage.Hello hello = remoteHello;
        return (hello == null ? "unknown router" : hello.router().value()) + " at " + channel.remoteAddress();
    }
}
