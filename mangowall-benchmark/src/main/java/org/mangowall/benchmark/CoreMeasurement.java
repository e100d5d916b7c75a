package org.mangowall.benchmark;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

import org.mangowall.benchmark.fleet.FleetShape;
import org.mangowall.kernel.name.RequestIdentifier;
import org.mangowall.kernel.name.RouterName;
import org.mangowall.kernel.time.PausedClock;
import org.mangowall.policy.RequestDescription;
import org.mangowall.policy.RouterIdentity;
import org.mangowall.policy.RunnerOutcome;
import org.mangowall.policy.ServiceExchange;
import org.mangowall.policy.WorkspaceShare;
import org.mangowall.policy.action.DecisionAction;
import org.mangowall.policy.core.FleetDecisionCore;
import org.mangowall.policy.core.PolicyTraits;
import org.mangowall.policy.event.DecisionEvent;

/** Measures one decision core by itself: requests in a second, and bytes for each thing that it keeps. */
public final class CoreMeasurement {

    private static final int WARM_UP_REQUESTS = 200_000;
    private static final int MEASURED_REQUESTS = 400_000;
    private static final int WAITING_REQUESTS = 50_000;
    private static final int QUEUE_LIMIT = 1_000_000;
    private static final int RUNNERS = 2_000;
    private static final int ORIGINS = 40;
    private static final int RUNNING = 200;
    private static final double NANOSECONDS_PER_SECOND = 1e9;

    private final PausedClock clock = new PausedClock(Instant.EPOCH);
    private final FleetShape shape;
    private final FleetDecisionCore core;
    private final Deque<RequestIdentifier> running = new ArrayDeque<>();
    private long sequence;

    private CoreMeasurement(FleetShape shape, PolicyTraits traits) {
        this.shape = shape;
        RouterIdentity identity = new RouterIdentity(shape.router(0), 1, shape.zone(0));
        this.core = new FleetDecisionCore(identity, clock, 1, traits);
        core.handle(new DecisionEvent.ConfigurationChanged(shape.inventory(1, List.of())));
        clock.advance(Duration.ofSeconds(2));
        core.handle(new DecisionEvent.ClockTicked());
    }

    /** Prints all figures. */
    public static void main(String[] words) {
        for (int workspaces : new int[] {16, 40, 400}) {
            FleetShape shape = new FleetShape(1, 1, 2, 16, 16, workspaces, QUEUE_LIMIT);
            System.out.printf(
                    "requests in a second, %d workspaces backlogged: %.0f%n",
                    workspaces, new CoreMeasurement(shape, PolicyTraits.roundRobin()).requestsInASecond(false));
            System.out.printf(
                    "requests in a second, %d workspaces backlogged, fair: %.0f%n",
                    workspaces, new CoreMeasurement(shape, fairWithFixedLimits()).requestsInASecond(true));
        }
        System.out.printf("bytes for a waiting request: %.0f%n", bytesOfAWaitingRequest());
        System.out.printf("bytes for a runner of which the router is home: %.0f%n", bytesOfARunner());
        System.out.printf("bytes for a workspace, each other home: %.0f%n", bytesOfACounter());
    }

    private static PolicyTraits fairWithFixedLimits() {
        PolicyTraits fair = PolicyTraits.fair();
        return new PolicyTraits(
                fair.homeChoice(),
                fair.queueOrder(),
                fair.runnerChoice(),
                false,
                fair.exchangesState(),
                fair.exchangePeriod());
    }

    private double requestsInASecond(boolean streamed) {
        for (int number = 0; number < RUNNING + 10 * shape.workspaces(); number++) {
            pass();
        }
        turnOver(WARM_UP_REQUESTS, streamed);
        long begin = System.nanoTime();
        turnOver(MEASURED_REQUESTS, streamed);
        return MEASURED_REQUESTS * NANOSECONDS_PER_SECOND / (System.nanoTime() - begin);
    }

    /** Each request passes the core as at its home: passed, begun, gone on, ended. */
    private void turnOver(int requests, boolean streamed) {
        for (int number = 0; number < requests; number++) {
            RequestIdentifier oldest = running.removeFirst();
            core.handle(new DecisionEvent.AnswerBegan(oldest));
            if (streamed) {
                core.handle(new DecisionEvent.AnswerProgressed(oldest, 1));
            }
            take(core.handle(new DecisionEvent.AnswerEnded(oldest, RunnerOutcome.COMPLETED, 1 + number % 5)));
            pass();
            if (number % 100 == 0) {
                clock.advance(Duration.ofMillis(10));
            }
        }
    }

    private void pass() {
        sequence++;
        RequestIdentifier identifier = new RequestIdentifier(new RouterName("router-9"), 1, sequence);
        RequestDescription request = new RequestDescription(
                identifier,
                shape.workspace((int) (sequence % shape.workspaces())),
                shape.service(0),
                true,
                0,
                0,
                Duration.ZERO,
                0);
        take(core.handle(new DecisionEvent.RequestPassed(request)));
    }

    private void take(List<DecisionAction> actions) {
        for (DecisionAction action : actions) {
            if (action instanceof DecisionAction.SendToRunner send) {
                running.add(send.request().identifier());
            }
        }
    }

    private static double bytesOfAWaitingRequest() {
        FleetShape shape = new FleetShape(1, 1, 1, 1, 1, 40, QUEUE_LIMIT);
        CoreMeasurement measured = new CoreMeasurement(shape, PolicyTraits.fair());
        long before = usedHeap();
        for (int number = 0; number < WAITING_REQUESTS; number++) {
            measured.pass();
        }
        double bytes = (double) (usedHeap() - before) / WAITING_REQUESTS;
        measured.core.handle(new DecisionEvent.ClockTicked());
        return bytes;
    }

    private static double bytesOfARunner() {
        List<CoreMeasurement> kept = new ArrayList<>();
        kept.add(new CoreMeasurement(new FleetShape(1, 1, 1, 1, 16, 1, 1), PolicyTraits.fair()));
        long before = usedHeap();
        kept.add(new CoreMeasurement(new FleetShape(1, 1, 1, RUNNERS, 16, 1, 1), PolicyTraits.fair()));
        double bytes = (double) (usedHeap() - before) / RUNNERS;
        kept.forEach(one -> one.core.handle(new DecisionEvent.ClockTicked()));
        return bytes;
    }

    private static double bytesOfACounter() {
        FleetShape shape = new FleetShape(1, 1, 1, 1, 1, 400, 1);
        CoreMeasurement measured = new CoreMeasurement(shape, PolicyTraits.fair());
        long before = usedHeap();
        for (int origin = 0; origin < ORIGINS; origin++) {
            List<WorkspaceShare> shares = new ArrayList<>();
            for (int workspace = 0; workspace < shape.workspaces(); workspace++) {
                shares.add(new WorkspaceShare(shape.workspace(workspace), 1, origin + 1, 0, 0));
            }
            RouterName router = new RouterName("router-" + (origin + 100));
            measured.core.handle(new DecisionEvent.ExchangeReceived(
                    new ServiceExchange(router, 1, 1, shape.service(0), 1, 1, 1, shares)));
        }
        double bytes = (double) (usedHeap() - before) / (ORIGINS * shape.workspaces());
        measured.core.handle(new DecisionEvent.ClockTicked());
        return bytes;
    }

    private static long usedHeap() {
        System.gc();
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
