package org.mangowall.benchmark.fleet;

import java.util.Collection;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import org.mangowall.kernel.name.RouterName;
import org.mangowall.policy.DecisionStatus.ServiceStatus;

import static org.junit.jupiter.api.Assertions.assertTrue;

/** Checks fairness, work conservation and absence of starvation in fleets of random sizes without faults. */
class FairnessPropertyTest {

    private static final long SAMPLE_MILLISECONDS = 20;
    private static final int WARM_UP_SAMPLES = 2_000;
    private static final int SAMPLES = 1_500;
    private static final int EXCHANGE_PERIOD_SAMPLES = 50;
    private static final int MESSAGE_DELAY_SAMPLES = 2;

    @Property(seed = "29", tries = 12)
    void theGapStaysWithinTheBoundAndNoSlotIdlesLongerThanAnExchange(
            @ForAll @IntRange(min = 1, max = 7) int routers,
            @ForAll @IntRange(min = 2, max = 8) int runners,
            @ForAll @IntRange(min = 2, max = 6) int workspaces,
            @ForAll @LongRange(min = 1, max = 1_000_000) long seed) {
        FleetLayout layout = new FleetLayout(3, routers, 1, runners, 4, workspaces, 256);
        SimulationScenario scenario = new SimulationScenario(layout, seed);
        FleetSampler sampler = new FleetSampler(scenario.fleet(), layout);
        scenario.fleet().setListener(new SampledCallers(sampler, scenario.callers()));
        scenario.fleet().start();
        scenario.callers().start(4 * runners);
        for (int sample = 0; sample < WARM_UP_SAMPLES; sample++) {
            scenario.run(SAMPLE_MILLISECONDS);
        }
        sampler.sample();
        double[] servedAtStart = served(sampler, layout);
        int consecutiveIdleSamples = 0;
        for (int sample = 0; sample < SAMPLES; sample++) {
            scenario.run(SAMPLE_MILLISECONDS);
            sampler.sample();
            consecutiveIdleSamples = hasIdleSlot(scenario) && sampler.waiting(0) > 0 ? consecutiveIdleSamples + 1 : 0;
            assertTrue(
                    consecutiveIdleSamples <= EXCHANGE_PERIOD_SAMPLES + MESSAGE_DELAY_SAMPLES,
                    () -> "a slot is idle while requests wait, at "
                            + scenario.fleet().scheduler().now());
            checkGap(scenario, sampler, servedAtStart);
        }
        for (int workspace = 0; workspace < workspaces; workspace++) {
            assertTrue(sampler.served(0, workspace) > servedAtStart[workspace], "a workspace is starved");
        }
    }

    private static double[] served(FleetSampler sampler, FleetLayout layout) {
        double[] served = new double[layout.workspaces()];
        for (int workspace = 0; workspace < served.length; workspace++) {
            served[workspace] = sampler.served(0, workspace);
        }
        return served;
    }

    private static void checkGap(SimulationScenario scenario, FleetSampler sampler, double[] servedAtStart) {
        double smallest = Double.POSITIVE_INFINITY;
        double largest = Double.NEGATIVE_INFINITY;
        for (int workspace = 0; workspace < servedAtStart.length; workspace++) {
            double servedByWeight = (sampler.served(0, workspace) - servedAtStart[workspace])
                    / scenario.layout().weight(workspace);
            smallest = Math.min(smallest, servedByWeight);
            largest = Math.max(largest, servedByWeight);
        }
        double gap = largest - smallest;
        double bound = largestGapBound(scenario);
        assertTrue(gap <= bound, () -> "gap " + gap + " exceeds the bound " + bound);
    }

    private static double largestGapBound(SimulationScenario scenario) {
        Collection<RouterName> routers = scenario.fleet().routerNames();
        return routers.stream()
                .flatMap(name -> scenario.fleet().core(name).status().services().stream())
                .mapToDouble(ServiceStatus::gapBound)
                .max()
                .orElseThrow();
    }

    private static boolean hasIdleSlot(SimulationScenario scenario) {
        return scenario.fleet().routerNames().stream()
                .flatMap(name -> scenario.fleet().core(name).status().services().stream())
                .anyMatch(service -> service.freeSlotsHere() > 0);
    }

    /** Forwards events to a sampler and to the callers. */
    private record SampledCallers(FleetSampler sampler, ClosedLoopCallers callers) implements FleetListener {

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
}
