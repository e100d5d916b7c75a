package org.mangowall.benchmark.fleet;

import java.util.HashMap;
import java.util.Map;

import org.mangowall.kernel.name.RouterName;
import org.mangowall.kernel.name.ServiceName;
import org.mangowall.policy.ServiceExchange;
import org.mangowall.protocol.PeerFrame;
import org.mangowall.protocol.PeerFrameCodec;
import org.mangowall.protocol.PeerMessage;

/** Counts the messages between simulated routers, with their sizes in frames of the peer protocol. */
public final class PeerTraffic {

    private static final long EPOCH = 1;

    private long events;
    private long exchanges;
    private long exchangeBytes;
    private long pulls;
    private long pulledSlots;
    private long pullBytes;
    private final Map<RouterName, Long> bytesOfRouter = new HashMap<>();
    private ServiceExchange lastExchange;
    private int lastExchangeBytes;

    void countEvent() {
        events++;
    }

    void countExchange(RouterName from, ServiceExchange exchange) {
        if (exchange != lastExchange) {
            lastExchange = exchange;
            lastExchangeBytes = PeerFrameCodec.encode(new PeerFrame(EPOCH, new PeerMessage.Exchange(exchange))).length;
        }
        exchanges++;
        exchangeBytes += lastExchangeBytes;
        bytesOfRouter.merge(from, (long) lastExchangeBytes, Long::sum);
    }

    void countPull(ServiceName service, int slots, double belowVirtualTime) {
        pulls++;
        pulledSlots += slots;
        pullBytes += PeerFrameCodec.encode(
                        new PeerFrame(EPOCH, new PeerMessage.PullRequests(service, slots, belowVirtualTime)))
                .length;
    }

    /** Returns the number of events that all decision cores have handled. */
    public long events() {
        return events;
    }

    /** Returns the number of exchanges sent, counted once per receiver. */
    public long exchanges() {
        return exchanges;
    }

    /** Returns the bytes of all exchanges. */
    public long exchangeBytes() {
        return exchangeBytes;
    }

    /** Returns the bytes of exchanges sent, by router. */
    public Map<RouterName, Long> bytesOfRouter() {
        return Map.copyOf(bytesOfRouter);
    }

    /** Returns the number of pulls sent. */
    public long pulls() {
        return pulls;
    }

    /** Returns the number of requests asked for with pulls. */
    public long pulledSlots() {
        return pulledSlots;
    }

    /** Returns the bytes of all pulls. */
    public long pullBytes() {
        return pullBytes;
    }
}
