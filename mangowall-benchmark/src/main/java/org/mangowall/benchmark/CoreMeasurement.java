package org.mangowall.benchmark;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

import org.mangowall.benchmark.fleet.FleetLayout;
import org.mangowall.kernel.name.RequestIdentifier;
import org.mangowall.kernel.name.RouterName;
import org.mangowall.kernel.time.ManualClock;
import org.mangowall.policy.RequestDescription;
import org.mangowall.policy.RouterIdentity;
import org.mangowall.policy.RunnerOutcome;
import org.mangowall.policy.ServiceExchange;
import org.mangowall.policy.WorkspaceShare;
import org.mangowall.policy.action.DecisionAction;
import org.mangowall.policy.core.FleetDecisionCore;
import org.mangowall.policy.core.PolicyTraits;
import org.mangowall.policy.event.DecisionEvent;

/** Measures a single decision core: its request throughput, and the heap that each kind of entry uses. */
public final class CoreMeasurement {

    private static final int WARM_UP_REQUESTS = 200_000;
    private static final int MEASURED_REQUESTS = 400_000;
    private static final int WAITING_REQUESTS = 50_000;
    private static final int QUEUE_LIMIT = 1_000_000;
    private static final int RUNNERS = 2_000;
    private static final int OTHER_HOMES = 40;
    private static final int RUNNING_REQUESTS = 200;
    private static final double NANOSECONDS_PER_SECOND = 1e9;

    private final ManualClock clock = new ManualClock(Instant.EPOCH);
    private final FleetLayout layout;
    private final FleetDecisionCore core;
    private final Deque<RequestIdentifier> running = new ArrayDeque<>();
    private long sequence;

    private CoreMeasurement(FleetLayout layout, PolicyTraits traits) {
        this.layout = layout;
        RouterIdentity identity = new RouterIdentity(layout.router(0), 1, layout.zone(0));
        this.core = new FleetDecisionCore(identity, clock, 1, traits);
        core.handle(new DecisionEvent.ConfigurationChanged(layout.inventory(1, List.of())));
        clock.advance(Duration.ofSeconds(2));
        core.handle(new DecisionEvent.ClockTicked());
    }

    /** Runs all measurements and prints the results. */
    public static void main(String[] arguments) {
        for (int workspaces : new int[] {16, 40, 400}) {
            FleetLayout layout = new FleetLayout(1, 1, 2, 16, 16, workspaces, QUEUE_LIMIT);
            System.out.printf(
                    "requests per second, %d backlogged workspaces, in order of arrival: %.0f%n",
                    workspaces, new CoreMeasurement(layout, PolicyTraits.roundRobin()).requestsPerSecond(false));
            System.out.printf(
                    "requests per second, %d backlogged workspaces, fair: %.0f%n",
                    workspaces, new CoreMeasurement(layout, fairWithFixedLimits()).requestsPerSecond(true));
        }
        System.out.printf("bytes per waiting request: %.0f%n", bytesPerWaitingRequest());
        System.out.printf("bytes per runner at its home: %.0f%n", bytesPerRunner());
        System.out.printf("bytes per workspace and other home: %.0f%n", bytesPerCounter());
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

    private double requestsPerSecond(boolean withProgress) {
        for (int number = 0; number < RUNNING_REQUESTS + 10 * layout.workspaces(); number++) {
            passRequest();
        }
        processRequests(WARM_UP_REQUESTS, withProgress);
        long startNanoseconds = System.nanoTime();
        processRequests(MEASURED_REQUESTS, withProgress);
        return MEASURED_REQUESTS * NANOSECONDS_PER_SECOND / (System.nanoTime() - startNanoseconds);
    }

    /** Completes running requests and passes new ones, with the events that a core receives as their home. */
    private void processRequests(int requests, boolean withProgress) {
        for (int number = 0; number < requests; number++) {
            RequestIdentifier oldest = running.removeFirst();
            core.handle(new DecisionEvent.AnswerBegan(oldest));
            if (withProgress) {
                core.handle(new DecisionEvent.AnswerProgressed(oldest, 1));
            }
            addSentRequests(
                    core.handle(new DecisionEvent.AnswerEnded(oldest, RunnerOutcome.COMPLETED, 1 + number % 5)));
            passRequest();
            if (number % 100 == 0) {
                clock.advance(Duration.ofMillis(10));
            }
        }
    }

    private void passRequest() {
        sequence++;
        RequestIdentifier identifier = new RequestIdentifier(new RouterName("router-9"), 1, sequence);
        RequestDescription request = new RequestDescription(
                identifier,
                layout.workspace((int) (sequence % layout.workspaces())),
                layout.service(0),
                true,
                0,
                0,
                Duration.ZERO,
                0);
        addSentRequests(core.handle(new DecisionEvent.RequestPassed(request)));
    }

    private void addSentRequests(List<DecisionAction> actions) {
        for (DecisionAction action : actions) {
            if (action instanceof DecisionAction.SendToRunner send) {
                running.add(send.request().identifier());
            }
        }
    }

    private static double bytesPerWaitingRequest() {
        FleetLayout layout = new FleetLayout(1, 1, 1, 1, 1, 40, QUEUE_LIMIT);
        CoreMeasurement measured = new CoreMeasurement(layout, PolicyTraits.fair());
        long before = usedHeap();
        for (int number = 0; number < WAITING_REQUESTS; number++) {
            measured.passRequest();
        }
        double bytes = (double) (usedHeap() - before) / WAITING_REQUESTS;
        measured.core.handle(new DecisionEvent.ClockTicked());
        return bytes;
    }

    private static double bytesPerRunner() {
        List<CoreMeasurement> measurements = new ArrayList<>();
        measurements.add(new CoreMeasurement(new FleetLayout(1, 1, 1, 1, 16, 1, 1), PolicyTraits.fair()));
        long before = usedHeap();
        measurements.add(new CoreMeasurement(new FleetLayout(1, 1, 1, RUNNERS, 16, 1, 1), PolicyTraits.fair()));
        double bytes = (double) (usedHeap() - before) / RUNNERS;
        measurements.forEach(measurement -> measurement.core.handle(new DecisionEvent.ClockTicked()));
        return bytes;
    }

    private static double bytesPerCounter() {
        FleetLayout layout = new FleetLayout(1, 1, 1, 1, 1, 400, 1);
        CoreMeasurement measured = new CoreMeasurement(layout, PolicyTraits.fair());
        long before = usedHeap();
        for (int home = 0; home < OTHER_HOMES; home++) {
            List<WorkspaceShare> shares = new ArrayList<>();
            for (int workspace = 0; workspace < layout.workspaces(); workspace++) {
                shares.add(new WorkspaceShare(layout.workspace(workspace), 1, home + 1, 0, 0));
            }
            RouterName router = new RouterName("router-" + (home + 100));
            measured.core.handle(new DecisionEvent.ExchangeReceived(
                    new ServiceExchange(router, 1, 1, layout.service(0), 1, 1, 1, shares)));
        }
        double bytes = (double) (usedHeap() - before) / (OTHER_HOMES * layout.workspaces());
        measured.core.handle(new DecisionEvent.ClockTicked());
        return bytes;
    }

    private static long usedHeap() {
        System.gc();
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
