package org.mangowall.edge.log;

import java.util.EnumMap;
import java.util.Map;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;

/**
 * Counts the bytes of this host's connections by the kind of the other end, without the headers of TCP.
 *
 * <p>Confined to the network thread.
 */
public final class TrafficMeter {

    private final Map<Endpoint, Counts> counts = new EnumMap<>(Endpoint.class);

    /** Creates a meter that has counted nothing. */
    public TrafficMeter() {
        for (Endpoint endpoint : Endpoint.values()) {
            counts.put(endpoint, new Counts());
        }
    }

    /** The other end of a connection. */
    public enum Endpoint {
        CALLER,
        RUNNER,
        PEER
    }

    /**
     * Bytes counted in a period.
     *
     * @param received bytes received
     * @param sent bytes written to connections
     */
    public record Traffic(long received, long sent) {}

    private static final class Counts {
        private long received;
        private long sent;
    }

    /** Creates the handler that counts the bytes of one connection; it belongs at the start of the pipeline. */
    public ChannelHandler counter(Endpoint endpoint) {
        return new Counter(counts.get(endpoint));
    }

    /** Returns the traffic with a kind of endpoint since the last call for it. */
    public Traffic take(Endpoint endpoint) {
        Counts taken = counts.get(endpoint);
        Traffic traffic = new Traffic(taken.received, taken.sent);
        taken.received = 0;
        taken.sent = 0;
        return traffic;
    }

    private static final class Counter extends ChannelDuplexHandler {

        private final Counts counts;

        Counter(Counts counts) {
            this.counts = counts;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
            if (message instanceof ByteBuf bytes) {
                counts.received += bytes.readableBytes();
            }
            super.channelRead(context, message);
        }

        @Override
        public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) throws Exception {
            if (message instanceof ByteBuf bytes) {
                counts.sent += bytes.readableBytes();
            }
            super.write(context, message, promise);
        }
    }
}
