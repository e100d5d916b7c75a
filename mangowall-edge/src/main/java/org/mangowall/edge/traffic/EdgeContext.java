package org.mangowall.edge.traffic;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.DoubleSupplier;
import java.util.function.LongSupplier;

import io.netty.channel.EventLoop;
import org.mangowall.edge.decision.FleetLoad;
import org.mangowall.edge.decision.LoadEvent;
import org.mangowall.edge.decision.Placement;
import org.mangowall.edge.decision.SharedRetryBudget;
import org.mangowall.edge.log.DecisionLog;
import org.mangowall.edge.log.EdgeMetrics;
import org.mangowall.edge.model.RouteTable;
import org.mangowall.edge.wire.HttpMessageCodec;

/** What the requests under way share; used on the network thread alone. */
public final class EdgeContext {

    private final HttpMessageCodec messages;
    private final FleetLoad fleet;
    private final Placement placement;
    private final EdgeBounds bounds;
    private final DecisionLog log;
    private final EdgeMetrics metrics;
    private final EventLoop loop;
    private final LongSupplier nanos;
    private final DoubleSupplier random;
    private final LoadNews news;
    private final String zone;
    private final Lifecycle lifecycle = new Lifecycle();
    private final Map<String, SharedRetryBudget> retryBudgets = new HashMap<>();
    private Optional<RouteTable> table = Optional.empty();
    private long lastNumber;

    /** Joins the parts. */
    public EdgeContext(
            HttpMessageCodec messages,
            FleetLoad fleet,
            EdgeBounds bounds,
            DecisionLog log,
            EdgeMetrics metrics,
            EventLoop loop,
            LongSupplier nanos,
            DoubleSupplier random,
            LoadNews news,
            String zone) {
        this.messages = messages;
        this.fleet = fleet;
        this.placement = new Placement(fleet, bounds.shareWindowNanos());
        this.bounds = bounds;
        this.log = log;
        this.metrics = metrics;
        this.loop = loop;
        this.nanos = nanos;
        this.random = random;
        this.news = news;
        this.zone = zone;
    }

    HttpMessageCodec messages() {
        return messages;
    }

    FleetLoad fleet() {
        return fleet;
    }

    Placement placement() {
        return placement;
    }

    EdgeBounds bounds() {
        return bounds;
    }

    DecisionLog log() {
        return log;
    }

    EdgeMetrics metrics() {
        return metrics;
    }

    EventLoop loop() {
        return loop;
    }

    /** The time of the clock that all decisions use, in nanoseconds. */
    public long now() {
        return nanos.getAsLong();
    }

    double draw() {
        return random.getAsDouble();
    }

    /** Whether the host takes requests. */
    public Lifecycle lifecycle() {
        return lifecycle;
    }

    /** The configuration in force; empty before the first one is known. */
    public Optional<RouteTable> table() {
        return table;
    }

    /** Puts a configuration in force unless it is older than the present one. */
    public boolean install(RouteTable newer) {
        if (table.isPresent() && newer.version() <= table.get().version()) {
            return false;
        }
        table = Optional.of(newer);
        fleet.installTable(newer);
        return true;
    }

    SharedRetryBudget retryBudget(String service) {
        return retryBudgets.computeIfAbsent(
                service,
                name -> new SharedRetryBudget(
                        bounds.retriesPerRequest(), bounds.retrySlack(), bounds.retryWindowNanos()));
    }

    long nextNumber() {
        lastNumber += 1;
        return lastNumber;
    }

    /** The availability zone of this host. */
    String zone() {
        return zone;
    }

    /** Notes that a runner can't be reached, and tells the other hosts. */
    void unreachable(String runner) {
        fleet.unreachable(runner, now());
        news.tell(new LoadEvent.Unreachable(runner));
    }

    /** Counts an event of this host's work, and tells the other hosts. */
    void tell(LoadEvent event) {
        fleet.apply(fleet.self(), event, now());
        news.tell(event);
    }
}
