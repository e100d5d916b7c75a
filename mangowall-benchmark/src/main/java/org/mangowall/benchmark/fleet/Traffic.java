package org.mangowall.benchmark.fleet;

import java.util.HashMap;
import java.util.Map;

import org.mangowall.kernel.name.RouterName;
import org.mangowall.kernel.name.ServiceName;
import org.mangowall.policy.ServiceExchange;
import org.mangowall.protocol.PeerFrame;
import org.mangowall.protocol.PeerFrameCodec;
import org.mangowall.protocol.PeerMessage;

/** Counts what goes between the routers of a simulated fleet, in the frames of the real protocol. */
public final class Traffic {

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

    void countPull(ServiceName service, int slots, double belowTag) {
        pulls++;
        pulledSlots += slots;
        pullBytes += PeerFrameCodec.encode(new PeerFrame(EPOCH, new PeerMessage.PullRequests(service, slots, belowTag)))
                .length;
    }

    /** The events that all cores took. */
    public long events() {
        return events;
    }

    /** The exchanges sent, each counted once for each receiver. */
    public long exchanges() {
        return exchanges;
    }

    /** The bytes of all exchanges. */
    public long exchangeBytes() {
        return exchangeBytes;
    }

    /** The bytes of exchanges that each router has sent. */
    public Map<RouterName, Long> bytesOfRouter() {
        return Map.copyOf(bytesOfRouter);
    }

    /** The pulls sent. */
    public long pulls() {
        return pulls;
    }

    /** The requests asked for by pulls. */
    public long pulledSlots() {
        return pulledSlots;
    }

    /** The bytes of all pulls. */
    public long pullBytes() {
        return pullBytes;
    }
}
