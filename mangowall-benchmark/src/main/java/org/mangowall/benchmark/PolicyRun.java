package org.mangowall.benchmark;

import java.time.Duration;
import java.util.List;
import java.util.Map;

import org.mangowall.benchmark.fleet.ClosedLoopCallers;
import org.mangowall.benchmark.fleet.FleetLayout;
import org.mangowall.benchmark.fleet.FleetListener;
import org.mangowall.benchmark.fleet.FleetSampler;
import org.mangowall.benchmark.fleet.FleetTiming;
import org.mangowall.benchmark.fleet.RequestRecord;
import org.mangowall.benchmark.fleet.SimulatedFleet;
import org.mangowall.benchmark.fleet.SimulatedRunner;
import org.mangowall.kernel.name.RouterName;
import org.mangowall.policy.DecisionStatus.ServiceStatus;
import org.mangowall.policy.core.PolicyTraits;

/** One benchmark run of one policy with one seed. */
final class PolicyRun {

    private static final long SAMPLE_MICROSECONDS = 20_000;
    private static final long MICROSECONDS_PER_SECOND = 1_000_000;
    private static final double NANOSECONDS_PER_SECOND = 1e9;
    private static final double BYTES_PER_MEGABYTE = 1024.0 * 1024.0;
    private static final int MEAN_MODEL_COST = 200;
    private static final int QUEUE_LIMIT = 256;

    private final BenchmarkArguments arguments;
    private final String policy;
    private final long seed;
    private final FleetLayout layout;
    private final SimulatedFleet fleet;
    private final FleetSampler sampler;
    private final ClosedLoopCallers callers;
    private final FairnessMeter fairness;
    private final UtilisationMeter utilisation;
    private double smallestBound = Double.POSITIVE_INFINITY;
    private double bound = Double.POSITIVE_INFINITY;
    private long boundViolations;
    private long samples;

    PolicyRun(BenchmarkArguments arguments, String policy, long seed) {
        this.arguments = arguments;
        this.policy = policy;
        this.seed = seed;
        boolean ideal = "ideal".equals(policy);
        this.layout = new FleetLayout(
                arguments.zones(),
                ideal ? 1 : arguments.routers(),
                arguments.services(),
                arguments.runners(),
                arguments.slots(),
                arguments.workspaces(),
                QUEUE_LIMIT);
        FleetTiming timing = arguments.isModelLoad() ? FleetTiming.modelCalls() : FleetTiming.plainCalls();
        PolicyTraits traits = traits(policy).withExchangePeriod(Duration.ofMillis(arguments.periodMilliseconds()));
        this.fleet = new SimulatedFleet(layout, traits, ideal ? timing.withoutDelays() : timing, seed);
        this.sampler = new FleetSampler(fleet, layout);
        double meanCost = arguments.isModelLoad() ? MEAN_MODEL_COST : 1;
        this.callers = new ClosedLoopCallers(fleet, layout, meanCost, arguments.spread(), seed);
        this.fairness = new FairnessMeter(layout, 0);
        this.utilisation = new UtilisationMeter(0);
        fleet.setListener(new Listener());
    }

    /** Returns the traits of a policy; "ideal" is the fair policy on one router without message delays. */
    private static PolicyTraits traits(String policy) {
        return switch (policy) {
            case "local-fair" -> PolicyTraits.localFair();
            case "round-robin" -> PolicyTraits.roundRobin();
            case "least-outstanding" -> PolicyTraits.leastOutstanding();
            default -> PolicyTraits.fair();
        };
    }

    /** Forwards events to the sampler and to the callers. */
    private final class Listener implements FleetListener {

        @Override
        public void sent(RequestRecord request) {
            sampler.sent(request);
        }

        @Override
        public void served(RequestRecord request) {
            sampler.served(request);
            callers.served(request);
        }

        @Override
        public void ended(RequestRecord request) {
            sampler.ended(request);
            callers.ended(request);
        }
    }

    BenchmarkResult run() {
        fleet.start();
        callers.start(arguments.callers());
        fleet.scheduler().runUntil(arguments.warmUpSeconds() * MICROSECONDS_PER_SECOND);
        long bytesBefore = controlBytes();
        Map<RouterName, Long> bytesOfRouterBefore = fleet.traffic().bytesOfRouter();
        long pulledBefore = fleet.traffic().pulledSlots();
        long eventsBefore = fleet.traffic().events();
        long servedBefore = callers.served();
        int overloadsBefore = overloads();
        fleet.scheduler().every(SAMPLE_MICROSECONDS, this::sample);
        scheduleRestarts();
        scheduleZoneClosure();
        long startNanoseconds = System.nanoTime();
        fleet.scheduler().runUntil((arguments.warmUpSeconds() + (long) arguments.seconds()) * MICROSECONDS_PER_SECOND);
        double elapsedSeconds = (System.nanoTime() - startNanoseconds) / NANOSECONDS_PER_SECOND;
        double seconds = arguments.seconds();
        return new BenchmarkResult(
                policy,
                seed,
                utilisation.utilisation(),
                fairness.largestGap(),
                smallestBound,
                boundViolations,
                overloads() - overloadsBefore,
                fleet.runners().stream().mapToInt(SimulatedRunner::crashes).sum(),
                callers.served() - servedBefore,
                callers.refused(),
                callers.failed(),
                (fleet.traffic().pulledSlots() - pulledBefore) / seconds,
                (controlBytes() - bytesBefore) / seconds / layout.routers(),
                maximumBytesSince(bytesOfRouterBefore) / seconds,
                (fleet.traffic().events() - eventsBefore) / elapsedSeconds,
                usedHeap() / BYTES_PER_MEGABYTE);
    }

    private int overloads() {
        return fleet.runners().stream().mapToInt(SimulatedRunner::overloads).sum();
    }

    private long controlBytes() {
        return fleet.traffic().exchangeBytes() + fleet.traffic().pullBytes();
    }

    private double maximumBytesSince(Map<RouterName, Long> before) {
        return fleet.traffic().bytesOfRouter().entrySet().stream()
                .mapToLong(entry -> entry.getValue() - before.getOrDefault(entry.getKey(), 0L))
                .max()
                .orElse(0);
    }

    private static long usedHeap() {
        System.gc();
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }

    private void scheduleRestarts() {
        int restartNumber = 0;
        long intervalMicroseconds = arguments.seconds() * MICROSECONDS_PER_SECOND / (arguments.restarts() + 1);
        for (SimulatedRunner runner : fleet.runners()) {
            restartNumber++;
            if (restartNumber > arguments.restarts()) {
                return;
            }
            fleet.scheduler()
                    .after(
                            restartNumber * intervalMicroseconds,
                            () -> fleet.crashRunner(runner, MICROSECONDS_PER_SECOND));
        }
    }

    private void scheduleZoneClosure() {
        if (arguments.zoneOutSeconds() == 0) {
            return;
        }
        long begin = arguments.seconds() * MICROSECONDS_PER_SECOND / 4;
        long end = begin + arguments.zoneOutSeconds() * MICROSECONDS_PER_SECOND;
        fleet.scheduler()
                .after(
                        begin,
                        () -> fleet.changeInventory(
                                layout.inventory(2, List.of(layout.zone(0))), MICROSECONDS_PER_SECOND));
        fleet.scheduler()
                .after(end, () -> fleet.changeInventory(layout.inventory(3, List.of()), MICROSECONDS_PER_SECOND));
    }

    private void sample() {
        sampler.sample();
        utilisation.sample(sampler);
        if (samples % 50 == 0) {
            bound = reportedBound();
            smallestBound = Math.min(smallestBound, bound);
        }
        samples++;
        double gap = fairness.sample(sampler);
        boundViolations += gap > bound ? 1 : 0;
    }

    /** Returns the largest gap bound that a router reports, since each router knows only a part of the fleet state. */
    private double reportedBound() {
        double largest = 0;
        for (RouterName name : fleet.routerNames()) {
            for (ServiceStatus service : fleet.core(name).status().services()) {
                if (service.service().equals(layout.service(0))) {
                    largest = Math.max(largest, service.gapBound());
                }
            }
        }
        return largest;
    }
}
