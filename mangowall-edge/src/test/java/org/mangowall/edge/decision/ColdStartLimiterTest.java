package org.mangowall.edge.decision;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against overloading a restarted, still cold runner that all hosts see idle at once. */
class ColdStartLimiterTest {

    private static final double MAX_RATE_FACTOR = 1.5;
    private static final int MAX_EXTRA_REQUESTS = 5;

    @ParameterizedTest
    @CsvSource({"1,16", "4,16", "8,16", "9,2", "87,10", "360,3"})
    void allHostsTogetherKeepToTheRate(int hostCount, double perSecond) {
        List<String> names = new ArrayList<>();
        for (int index = 0; index < hostCount; index++) {
            names.add("host-" + index);
        }
        List<FleetLoad> hosts = new ArrayList<>();
        for (String name : names) {
            FleetLoad fleet = new FleetLoad(name, Fixtures.WINDOW_NANOS);
            fleet.installTable(Fixtures.table(0, perSecond));
            fleet.installRunner(Fixtures.runner("cold", Fixtures.ENGINES, "a", 3_000), 0);
            fleet.setHosts(names);
            hosts.add(fleet);
        }
        List<Long> sentAt = new ArrayList<>();
        for (long milli = 0; milli < 3_000; milli += 10) {
            long now = milli * Fixtures.MILLI;
            for (FleetLoad fleet : hosts) {
                Placement placement = new Placement(fleet, Fixtures.WINDOW_NANOS);
                if (placement.decide(Fixtures.stream("w", Fixtures.prompt(10, 1), 0.5), now)
                        instanceof PlacementDecision.Send) {
                    sentAt.add(milli);
                    fleet.apply(
                            fleet.self(),
                            new LoadEvent.Sent(milli, "cold", Optional.of("w"), List.of(), 1, 11, 12, Optional.empty()),
                            now);
                }
            }
        }
        double bound = perSecond * MAX_RATE_FACTOR + MAX_EXTRA_REQUESTS;
        for (long start : sentAt) {
            long requestsInSecond = sentAt.stream()
                    .filter(at -> at >= start && at < start + 1_000)
                    .count();
            assertTrue(requestsInSecond <= bound, requestsInSecond + " in a second, bound " + bound);
        }
        assertTrue(sentAt.size() >= 0.5 * perSecond * 3, "the runner warms up with " + sentAt.size() + " requests");
    }

    /** A restarted runner may not report that it is cold, so a runner that was unreachable is assumed to be. */
    @Test
    void aRunnerThatWasUnreachableIsAssumedCold() {
        FleetLoad fleet = new FleetLoad("host", Fixtures.WINDOW_NANOS);
        fleet.installTable(Fixtures.table(0, 2));
        fleet.installRunner(Fixtures.runner("r", Fixtures.ENGINES, "a", 0), 0);
        Placement placement = new Placement(fleet, Fixtures.WINDOW_NANOS);
        fleet.recordUnreachable("r", 0);
        long reachableAt = 1_000 * Fixtures.MILLI;
        fleet.recordResponse("r", false, reachableAt);
        fleet.apply(
                "host",
                new LoadEvent.Sent(1, "r", Optional.of("w"), List.of(), 1, 11, 12, Optional.empty()),
                reachableAt);
        assertInstanceOf(
                PlacementDecision.Reject.class,
                placement.decide(Fixtures.stream("w", Fixtures.prompt(10, 1), 0.5), reachableAt + Fixtures.MILLI));
    }
}
