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

/** Random faults, two at a time too: no request that may not be repeated runs twice, and every request ends once. */
class FaultPropertyTest {

    private static final int REQUESTS = 400;
    private static final long STEP_MILLISECONDS = 50;
    private static final double MEAN_COST = 30;

    @Property(seed = "23", tries = 100)
    void everyRequestEndsOnceAndRunsAtMostOnceUnlessRepeatable(
            @ForAll @IntRange(min = 2, max = 5) int routers,
            @ForAll @IntRange(min = 1, max = 5) int runners,
            @ForAll @LongRange(min = 1, max = 1_000_000) long seed) {
        Session session = new Session(new FleetShape(2, routers, 1, runners, 4, 3, 16), seed);
        SimulatedFleet fleet = session.fleet();
        InvariantLedger ledger = new InvariantLedger(fleet, FleetListener.SILENT);
        fleet.listen(ledger);
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        fleet.start();
        for (int number = 0; number < REQUESTS; number++) {
            sendOne(session, random);
            disturb(session, random, routers);
            session.run(random.nextLong(STEP_MILLISECONDS));
        }
        session.heal();
        session.run(700_000);
        ledger.checkAll();
    }

    private void sendOne(Session session, UniformRandomProvider random) {
        SimulatedFleet fleet = session.fleet();
        RouterName entry = session.shape().router(random.nextInt(session.shape().routers()));
        if (fleet.core(entry) == null) {
            return;
        }
        RequestDescription template = new RequestDescription(
                new RequestIdentifier(entry, 1, 0),
                session.shape().workspace(random.nextInt(3)),
                session.shape().service(0),
                random.nextBoolean(),
                0,
                random.nextInt(4),
                Duration.ZERO,
                0);
        fleet.send(entry, template, MEAN_COST * (0.1 + 2 * random.nextDouble()));
    }

    private static void disturb(Session session, UniformRandomProvider random, int routers) {
        SimulatedFleet fleet = session.fleet();
        List<SimulatedRunner> runners = List.copyOf(fleet.runners());
        SimulatedRunner runner = runners.get(random.nextInt(runners.size()));
        int router = random.nextInt(routers);
        switch (random.nextInt(60)) {
            case 0 -> fleet.breakAll(runner, 200_000);
            case 1 -> runner.becomeCold(fleet.line().now());
            case 2, 3 -> crashOrRestart(session, router);
            case 4 -> session.cutOff(router);
            case 5, 6 -> session.heal();
            case 7 -> session.closeZone(random.nextInt(2));
            case 8, 9 -> session.openZones();
            default -> {
                // most of the time nothing happens
            }
        }
    }

    private static void crashOrRestart(Session session, int router) {
        if (session.fleet().core(session.shape().router(router)) == null) {
            session.restart(router);
        } else {
            session.crash(router);
        }
    }
}
