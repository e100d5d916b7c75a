package org.mangowall.benchmark.fleet;

import java.time.Duration;
import java.util.List;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.mangowall.kernel.name.RequestIdentifier;
import org.mangowall.kernel.name.RouterName;
import org.mangowall.policy.RequestDescription;

/** Under random, possibly overlapping faults, no non-repeatable request runs twice and every request ends once. */
class FaultPropertyTest {

    private static final int REQUESTS = 400;
    private static final long MAXIMUM_STEP_MILLISECONDS = 50;
    private static final double MEAN_COST = 30;

    @Property(seed = "23", tries = 100)
    void everyRequestEndsOnceAndRunsAtMostOnceUnlessRepeatable(
            @ForAll @IntRange(min = 2, max = 5) int routers,
            @ForAll @IntRange(min = 1, max = 5) int runners,
            @ForAll @LongRange(min = 1, max = 1_000_000) long seed) {
        SimulationScenario scenario = new SimulationScenario(new FleetLayout(2, routers, 1, runners, 4, 3, 16), seed);
        SimulatedFleet fleet = scenario.fleet();
        InvariantChecker checker = new InvariantChecker(fleet, FleetListener.NO_OP);
        fleet.setListener(checker);
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        fleet.start();
        for (int number = 0; number < REQUESTS; number++) {
            sendRandomRequest(scenario, random);
            injectRandomFault(scenario, random, routers);
            scenario.run(random.nextLong(MAXIMUM_STEP_MILLISECONDS));
        }
        scenario.endPartition();
        scenario.run(700_000);
        checker.checkAll();
    }

    private void sendRandomRequest(SimulationScenario scenario, UniformRandomProvider random) {
        SimulatedFleet fleet = scenario.fleet();
        RouterName entry =
                scenario.layout().router(random.nextInt(scenario.layout().routers()));
        if (fleet.core(entry) == null) {
            return;
        }
        RequestDescription template = new RequestDescription(
                new RequestIdentifier(entry, 1, 0),
                scenario.layout().workspace(random.nextInt(3)),
                scenario.layout().service(0),
                random.nextBoolean(),
                0,
                random.nextInt(4),
                Duration.ZERO,
                0);
        fleet.send(entry, template, MEAN_COST * (0.1 + 2 * random.nextDouble()));
    }

    private static void injectRandomFault(SimulationScenario scenario, UniformRandomProvider random, int routers) {
        SimulatedFleet fleet = scenario.fleet();
        List<SimulatedRunner> runners = List.copyOf(fleet.runners());
        SimulatedRunner runner = runners.get(random.nextInt(runners.size()));
        int router = random.nextInt(routers);
        switch (random.nextInt(60)) {
            case 0 -> fleet.crashRunner(runner, 200_000);
            case 1 -> runner.becomeCold(fleet.scheduler().now());
            case 2, 3 -> crashOrRestart(scenario, router);
            case 4 -> scenario.isolate(router);
            case 5, 6 -> scenario.endPartition();
            case 7 -> scenario.closeZone(random.nextInt(2));
            case 8, 9 -> scenario.openZones();
            default -> {
                // most steps inject no fault
            }
        }
    }

    private static void crashOrRestart(SimulationScenario scenario, int router) {
        if (scenario.fleet().core(scenario.layout().router(router)) == null) {
            scenario.restart(router);
        } else {
            scenario.crash(router);
        }
    }
}
