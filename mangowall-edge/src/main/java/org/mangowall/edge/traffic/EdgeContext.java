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
import org.mangowall.edge.log.TrafficMeter;
import org.mangowall.edge.model.CallerLimits;
import org.mangowall.edge.model.RouteTable;
import org.mangowall.edge.overload.BodyRoom;
import org.mangowall.edge.overload.HeldMemory;
import org.mangowall.edge.overload.RefusedDemandEstimate;
import org.mangowall.edge.wire.HttpMessageCodec;

/** State and services shared by all requests of a host; confined to the network thread. */
public final class EdgeContext {

    private final HttpMessageCodec messages;
    private final FleetLoad fleet;
    private final Placement placement;
    private final EdgeBounds bounds;
    private final HeldMemory heldMemory;
    private final BodyRoom bodyRoom;
    private final DecisionLog log;
    private final EdgeMetrics metrics;
    private final TrafficMeter traffic;
    private final EventLoop loop;
    private final LongSupplier nanoClock;
    private final DoubleSupplier random;
    private final LoadEventPublisher eventPublisher;
    private final DoubleSupplier pathDelayMillis;
    private final String zone;
    private final DeferredWork deferredWork;
    private final RefusedDemandEstimate refusedDemand;
    private final LoopDelayMonitor loopDelay;
    private final Lifecycle lifecycle = new Lifecycle();
    private final Map<String, SharedRetryBudget> retryBudgets = new HashMap<>();
    private Optional<RouteTable> table = Optional.empty();
    private long lastAttemptNumber;

    /** Creates the context without a configuration. */
    public EdgeContext(
            HttpMessageCodec messages,
            FleetLoad fleet,
            EdgeBounds bounds,
            HeldMemory heldMemory,
            DecisionLog log,
            EdgeMetrics metrics,
            TrafficMeter traffic,
            EventLoop loop,
            LongSupplier nanoClock,
            DoubleSupplier random,
            LoadEventPublisher eventPublisher,
            DoubleSupplier pathDelayMillis,
            String zone) {
        this.messages = messages;
        this.fleet = fleet;
        this.placement = new Placement(fleet, bounds.shareWindowNanos());
        this.bounds = bounds;
        this.heldMemory = heldMemory;
        this.bodyRoom = new BodyRoom(heldMemory);
        this.log = log;
        this.metrics = metrics;
        this.traffic = traffic;
        this.loop = loop;
        this.nanoClock = nanoClock;
        this.random = random;
        this.eventPublisher = eventPublisher;
        this.pathDelayMillis = pathDelayMillis;
        this.zone = zone;
        this.deferredWork = new DeferredWork(loop, nanoClock, log);
        this.refusedDemand = new RefusedDemandEstimate(nanoClock.getAsLong());
        this.loopDelay = new LoopDelayMonitor(loop, nanoClock);
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

    /** The account of the memory that is held for requests and their responses. */
    public HeldMemory heldMemory() {
        return heldMemory;
    }

    /** The room for the bodies of requests. */
    public BodyRoom bodyRoom() {
        return bodyRoom;
    }

    DecisionLog log() {
        return log;
    }

    EdgeMetrics metrics() {
        return metrics;
    }

    TrafficMeter traffic() {
        return traffic;
    }

    EventLoop loop() {
        return loop;
    }

    /** Work on requests that waits for the reads of this turn and the next one. */
    public DeferredWork deferredWork() {
        return deferredWork;
    }

    RefusedDemandEstimate refusedDemand() {
        return refusedDemand;
    }

    /** This host accepts the connections of callers again, or refuses them from now on. */
    public void entryChanged(boolean isOpen) {
        if (!isOpen) {
            refusedDemand.entryClosed(now());
            return;
        }
        refusedDemand
                .entryOpened(now())
                .forEach((workspace, costTokens) -> publish(new LoadEvent.TurnedAway(workspace, costTokens)));
    }

    /** The delay of this host's own network path, in milliseconds; it isn't the runners'. */
    double pathDelayMillis() {
        return pathDelayMillis.getAsDouble();
    }

    /** Returns the monitor of the event loop's delay. */
    public LoopDelayMonitor loopDelay() {
        return loopDelay;
    }

    /** The current time in nanoseconds, from the monotonic clock that all decisions use. */
    public long now() {
        return nanoClock.getAsLong();
    }

    double nextRandom() {
        return random.getAsDouble();
    }

    /** Returns the shutdown state of this host. */
    public Lifecycle lifecycle() {
        return lifecycle;
    }

    /** The active configuration; empty until the first one is received. */
    public Optional<RouteTable> table() {
        return table;
    }

    /** The limits in force on requests and connections of callers. */
    CallerLimits callerLimits() {
        return table.map(RouteTable::limits).orElse(CallerLimits.DEFAULT);
    }

    /**
     * Activates a configuration unless it is no newer than the active one.
     *
     * @return whether it was activated
     */
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

    long nextAttemptNumber() {
        lastAttemptNumber += 1;
        return lastAttemptNumber;
    }

    /** The availability zone of this host. */
    String zone() {
        return zone;
    }

    /** Marks a runner as unreachable, and publishes that to the other hosts. */
    void markUnreachable(String runner) {
        fleet.recordUnreachable(runner, now());
        eventPublisher.publish(new LoadEvent.Unreachable(runner));
    }

    /** Publishes an event that this host has applied already. */
    void publishToOthers(LoadEvent event) {
        eventPublisher.publish(event);
    }

    /** Applies an event of this host to the fleet's load, and publishes it to the other hosts. */
    void publish(LoadEvent event) {
        fleet.apply(fleet.self(), event, now());
        eventPublisher.publish(event);
    }
}
