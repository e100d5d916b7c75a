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

/** Runs the decision core on one thread, which takes its events from a bounded ring buffer. */
public final class DecisionDuty implements DutyHandler<DecisionEvent>, DecisionSink, AutoCloseable {

    private static final Duration MAXIMUM_TICK_PERIOD = Duration.ofMillis(50);
    private static final long CLOCK_EVENT_PERIOD_MILLIS = 10;
    private static final long STATUS_PERIOD_MILLIS = 200;
    private static final long FULL_RING_RETRY_NANOS = 50_000;
    private static final DecisionStatus EMPTY_STATUS = new DecisionStatus(0, List.of(), List.of(), List.of());

    private final DecisionCore core;
    private final Clock clock;
    private final RouterMetrics metrics;
    private final int newWorkDepthLimit;
    private final Duty<DecisionEvent> duty;
    private final Queue<DecisionEvent> followUps = new ArrayDeque<>();
    private volatile ActionExecutor executor = action -> {};
    private volatile DecisionStatus status = EMPTY_STATUS;
    private volatile boolean closed;
    private long nextClockEventMillis;
    private long nextStatusMillis;

    /**
     * Creates the duty; {@link #start} starts its thread.
     *
     * @param ringCapacityEvents the capacity of the ring buffer; its last quarter is reserved for work in progress
     */
    public DecisionDuty(DecisionCore core, Clock clock, RouterMetrics metrics, int ringCapacityEvents) {
        this.core = core;
        this.clock = clock;
        this.metrics = metrics;
        this.newWorkDepthLimit = ringCapacityEvents / 4 * 3;
        this.duty = new Duty<>("decision", ringCapacityEvents, MAXIMUM_TICK_PERIOD, this);
    }

    /** Starts the thread, which passes the actions of the core to the executor. */
    public void start(ActionExecutor actionExecutor) {
        executor = actionExecutor;
        duty.start();
    }

    /** Returns the thread and its ring, for metrics. */
    public Duty<DecisionEvent> duty() {
        return duty;
    }

    /** Returns the latest status snapshot of the core, at most a fraction of a second old. */
    public DecisionStatus status() {
        return status;
    }

    @Override
    public boolean offer(DecisionEvent event) {
        if (duty.depth() < newWorkDepthLimit && duty.offer(event)) {
            return true;
        }
        metrics.eventRefused(duty.name());
        return false;
    }

    @Override
    public void post(DecisionEvent event) {
        // The decision thread must not wait for room in its own ring.
        if (Thread.currentThread().threadId() == duty.threadIdentifier()) {
            followUps.add(event);
            return;
        }
        while (!duty.offer(event)) {
            if (closed) {
                return;
            }
            LockSupport.parkNanos(FULL_RING_RETRY_NANOS);
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
        if (now < nextClockEventMillis) {
            return;
        }
        nextClockEventMillis = now + CLOCK_EVENT_PERIOD_MILLIS;
        handle(new DecisionEvent.ClockTicked());
        if (now >= nextStatusMillis) {
            nextStatusMillis = now + STATUS_PERIOD_MILLIS;
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
