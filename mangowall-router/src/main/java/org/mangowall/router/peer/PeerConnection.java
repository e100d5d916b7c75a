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

/** One open connection to another router; safe for use by several threads. */
public final class PeerConnection implements AnswerOrigin {

    private final Channel channel;
    private final RouterMetrics metrics;
    private final boolean opener;
    private final AtomicInteger openRequests = new AtomicInteger();
    private volatile long epoch;
    private volatile PeerMessage.Hello remote;

    PeerConnection(Channel channel, RouterMetrics metrics, boolean opener, long epoch) {
        this.channel = channel;
        this.metrics = metrics;
        this.opener = opener;
        this.epoch = epoch;
    }

    /** Who is on the other side; null until it has said so. */
    public PeerMessage.Hello remote() {
        return remote;
    }

    /** Whether this router opened the connection. */
    public boolean isOpener() {
        return opener;
    }

    /** Whether the connection takes more data without piling it up. */
    public boolean isWritable() {
        return channel.isWritable();
    }

    /** Whether the connection is open; a closed one never opens again. */
    public boolean isActive() {
        return channel.isActive();
    }

    /** Counts a request that now depends on this connection. */
    public void requestOpened() {
        openRequests.incrementAndGet();
    }

    /** Counts a request that no longer depends on this connection. */
    public void requestClosed() {
        openRequests.decrementAndGet();
    }

    /**
     * Sends a message.
     *
     * @return false when the connection is closed; true does not mean that the message arrives
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
    public void taken(RequestIdentifier request, long takenBytes) {
        send(new PeerMessage.AnswerFlow(request, takenBytes));
    }

    /** Closes the connection. */
    public void close() {
        channel.close();
    }

    int openRequests() {
        return openRequests.get();
    }

    long epoch() {
        return epoch;
    }

    void accept(PeerMessage.Hello hello, long connectionEpoch) {
        epoch = connectionEpoch;
        remote = hello;
    }

    @Override
    public String toString() {
        PeerMessage.Hello hello = remote;
        return (hello == null ? "unknown router" : hello.router().value()) + " at " + channel.remoteAddress();
    }
}
