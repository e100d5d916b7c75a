package org.mangowall.benchmark;

import java.time.Duration;
import java.util.List;
import java.util.Map;

import org.mangowall.benchmark.fleet.ClosedLoopCallers;
import org.mangowall.benchmark.fleet.FleetListener;
import org.mangowall.benchmark.fleet.FleetProbe;
import org.mangowall.benchmark.fleet.FleetShape;
import org.mangowall.benchmark.fleet.FleetTiming;
import org.mangowall.benchmark.fleet.RequestRecord;
import org.mangowall.benchmark.fleet.SimulatedFleet;
import org.mangowall.benchmark.fleet.SimulatedRunner;
import org.mangowall.kernel.name.RouterName;
import org.mangowall.policy.DecisionStatus.ServiceStatus;
import org.mangowall.policy.core.PolicyTraits;

/** One run of one policy on one trace. */
final class PolicyRun {

    private static final long SAMPLE_MICROSECONDS = 20_000;
    private static final long MICROSECONDS_PER_SECOND = 1_000_000;
    private static final double NANOSECONDS_PER_SECOND = 1e9;
    private static final double BYTES_PER_MEGABYTE = 1024.0 * 1024.0;
    private static final int MODEL_COST = 200;
    private static final int QUEUE_LIMIT = 256;

    private final BenchmarkArguments arguments;
    private final String policy;
    private final long seed;
    private final FleetShape shape;
    private final SimulatedFleet fleet;
    private final FleetProbe probe;
    private final ClosedLoopCallers callers;
    private final FairnessMeter fairness;
    private final UtilisationMeter utilisation;
    private double smallestBound = Double.POSITIVE_INFINITY;
    private double bound = Double.POSITIVE_INFINITY;
    private long boundBroken;
    private long samples;

    PolicyRun(BenchmarkArguments arguments, String policy, long seed) {
        this.arguments = arguments;
        this.policy = policy;
        this.seed = seed;
        boolean ideal = "ideal".equals(policy);
        this.shape = new FleetShape(
                arguments.zones(),
                ideal ? 1 : arguments.routers(),
                arguments.services(),
                arguments.runners(),
                arguments.slots(),
                arguments.workspaces(),
                QUEUE_LIMIT);
        FleetTiming timing = arguments.isModelLoad() ? FleetTiming.modelCalls() : FleetTiming.plainCalls();
        PolicyTraits traits = traits(policy).withExchangePeriod(Duration.ofMillis(arguments.periodMilliseconds()));
        this.fleet = new SimulatedFleet(shape, traits, ideal ? timing.withoutDelays() : timing, seed);
        this.probe = new FleetProbe(fleet, shape);
        double meanCost = arguments.isModelLoad() ? MODEL_COST : 1;
        this.callers = new ClosedLoopCallers(fleet, shape, meanCost, arguments.spread(), seed);
        this.fairness = new FairnessMeter(shape, 0);
        this.utilisation = new UtilisationMeter(0);
        fleet.listen(new Listener());
    }

    private static PolicyTraits traits(String policy) {
        return switch (policy) {
            case "local-fair" -> PolicyTraits.localFair();
            case "round-robin" -> PolicyTraits.roundRobin();
            case "least-outstanding" -> PolicyTraits.leastOutstanding();
            default -> PolicyTraits.fair();
        };
    }

    /** Passes on to the probe and to the callers. */
    private final class Listener implements FleetListener {

        @Override
        public void sent(RequestRecord request) {
            probe.sent(request);
        }

        @Override
        public void served(RequestRecord request) {
            probe.served(request);
            callers.served(request);
        }

        @Override
        public void ended(RequestRecord request) {
            probe.ended(request);
            callers.ended(request);
        }
    }

    BenchmarkResult run() {
        fleet.start();
        callers.start(arguments.callers());
        fleet.line().runUntil(arguments.warmUpSeconds() * MICROSECONDS_PER_SECOND);
        long bytesBefore = controlBytes();
        Map<RouterName, Long> bytesOfRouterBefore = fleet.traffic().bytesOfRouter();
        long pulledBefore = fleet.traffic().pulledSlots();
        long eventsBefore = fleet.traffic().events();
        long servedBefore = callers.served();
        int overloadsBefore = overloads();
        fleet.line().every(SAMPLE_MICROSECONDS, this::sample);
        planRestarts();
        planZoneOut();
        long begin = System.nanoTime();
        fleet.line().runUntil((arguments.warmUpSeconds() + (long) arguments.seconds()) * MICROSECONDS_PER_SECOND);
        double elapsed = (System.nanoTime() - begin) / NANOSECONDS_PER_SECOND;
        double seconds = arguments.seconds();
        return new BenchmarkResult(
                policy,
                seed,
                utilisation.utilisation(),
                fairness.largestGap(),
                smallestBound,
                boundBroken,
                overloads() - overloadsBefore,
                fleet.runners().stream().mapToInt(SimulatedRunner::falls).sum(),
                callers.served() - servedBefore,
                callers.refused(),
                callers.failed(),
                (fleet.traffic().pulledSlots() - pulledBefore) / seconds,
                (controlBytes() - bytesBefore) / seconds / shape.routers(),
                mostBytesSince(bytesOfRouterBefore) / seconds,
                (fleet.traffic().events() - eventsBefore) / elapsed,
                usedHeap() / BYTES_PER_MEGABYTE);
    }

    private int overloads() {
        return fleet.runners().stream().mapToInt(SimulatedRunner::overloads).sum();
    }

    private long controlBytes() {
        return fleet.traffic().exchangeBytes() + fleet.traffic().pullBytes();
    }

    private double mostBytesSince(Map<RouterName, Long> before) {
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

    private void planRestarts() {
        int number = 0;
        long step = arguments.seconds() * MICROSECONDS_PER_SECOND / (arguments.restarts() + 1);
        for (SimulatedRunner runner : fleet.runners()) {
            number++;
            if (number > arguments.restarts()) {
                return;
            }
            fleet.line().after(number * step, () -> fleet.breakAll(runner, MICROSECONDS_PER_SECOND));
        }
    }

    private void planZoneOut() {
        if (arguments.zoneOutSeconds() == 0) {
            return;
        }
        long begin = arguments.seconds() * MICROSECONDS_PER_SECOND / 4;
        long end = begin + arguments.zoneOutSeconds() * MICROSECONDS_PER_SECOND;
        fleet.line()
                .after(begin, () -> fleet.change(shape.inventory(2, List.of(shape.zone(0))), MICROSECONDS_PER_SECOND));
        fleet.line().after(end, () -> fleet.change(shape.inventory(3, List.of()), MICROSECONDS_PER_SECOND));
    }

    private void sample() {
        probe.sample();
        utilisation.sample(probe);
        if (samples % 50 == 0) {
            bound = statedBound();
            smallestBound = Math.min(smallestBound, bound);
        }
        samples++;
        double gap = fairness.sample(probe);
        boundBroken += gap > bound ? 1 : 0;
    }

    /** The bound as the routers state it; each of them knows a little less than all, so the largest counts. */
    private double statedBound() {
        double largest = 0;
        for (RouterName name : fleet.routerNames()) {
            for (ServiceStatus service : fleet.core(name).status().services()) {
                if (service.service().equals(shape.service(0))) {
                    largest = Math.max(largest, service.gapBound());
                }
            }
        }
        return largest;
    }
}
