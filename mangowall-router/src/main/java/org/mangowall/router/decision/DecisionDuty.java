package org.mangowall.router.decision;

import java.time.Clock;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.locks.LockSupport;

import org.mangowall.kernel.duty.Duty;
import org.mangowall.kernel.duty.DutyHandler;
import org.mangowall.policy.DecisionCore;
import org.mangowall.policy.DecisionStatus;
import org.mangowall.policy.action.DecisionAction;
import org.mangowall.policy.event.DecisionEvent;
import org.mangowall.router.metrics.RouterMetrics;

/** The one thread that runs the decision core. */
public final class DecisionDuty implements DutyHandler<DecisionEvent>, DecisionSink, AutoCloseable {

    private static final Duration TICK_PERIOD = Duration.ofMillis(50);
    private static final long TICK_MILLIS = 10;
    private static final long STATUS_MILLIS = 200;
    private static final long FULL_RING_WAIT_NANOS = 50_000;
    private static final DecisionStatus NO_STATUS = new DecisionStatus(0, List.of(), List.of(), List.of());

    private final DecisionCore core;
    private final Clock clock;
    private final RouterMetrics metrics;
    private final int newWorkDepth;
    private final Duty<DecisionEvent> duty;
    private final Queue<DecisionEvent> followUps = new ArrayDeque<>();
    private volatile ActionExecutor executor = action -> {};
    private volatile DecisionStatus status = NO_STATUS;
    private volatile boolean closed;
    private long nextTickMillis;
    private long nextStatusMillis;

    /**
     * Creates a duty that is not started.
     *
     * @param ringEvents the events that may wait; the last quarter is kept for work under way
     */
    public DecisionDuty(DecisionCore core, Clock clock, RouterMetrics metrics, int ringEvents) {
        this.core = core;
        this.clock = clock;
        this.metrics = metrics;
        this.newWorkDepth = ringEvents / 4 * 3;
        this.duty = new Duty<>("decision", ringEvents, TICK_PERIOD, this);
    }

    /** Starts the thread. */
    public void start(ActionExecutor actionExecutor) {
        executor = actionExecutor;
        duty.start();
    }

    /** The duty, for metrics. */
    public Duty<DecisionEvent> duty() {
        return duty;
    }

    /** The latest picture of the core, a fraction of a second old at most. */
    public DecisionStatus status() {
        return status;
    }

    @Override
    public boolean offer(DecisionEvent event) {
        if (duty.depth() < newWorkDepth && duty.offer(event)) {
            return true;
        }
        metrics.ringRefused(duty.name());
        return false;
    }

    @Override
    public void post(DecisionEvent event) {
        if (Thread.currentThread().threadId() == duty.threadIdentifier()) {
            followUps.add(event);
            return;
        }
        while (!duty.offer(event)) {
            if (closed) {
                return;
            }
            LockSupport.parkNanos(FULL_RING_WAIT_NANOS);
        }
    }

    @Override
    public void handle(DecisionEvent event) {
        process(event);
        drainFollowUps();
    }

    @Override
    public void tick() {
        drainFollowUps();
        long now = clock.millis();
        if (now < nextTickMillis) {
            return;
        }
        nextTickMillis = now + TICK_MILLIS;
        handle(new DecisionEvent.ClockTicked());
        if (now >= nextStatusMillis) {
            nextStatusMillis = now + STATUS_MILLIS;
            status = core.status();
        }
    }

    private void drainFollowUps() {
        DecisionEvent event = followUps.poll();
        while (event != null) {
            process(event);
            event = followUps.poll();
        }
    }

    private void process(DecisionEvent event) {
        for (DecisionAction action : core.handle(event)) {
            executor.execute(action);
        }
    }

    @Override
    public void close() {
        closed = true;
        duty.close();
    }
}
