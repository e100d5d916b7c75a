package org.mangowall.membership;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.mangowall.kernel.name.RouterName;
import org.mangowall.membership.configuration.ConfigurationContent;
import org.mangowall.membership.configuration.ConfigurationEvent;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class ConfigurationSpreadTest {

    private static final RouterName FIRST = new RouterName("router-1-1");
    private static final byte[] DOCUMENT = new byte[100];
    private static final Duration BOUND = Duration.ofSeconds(5);

    private static SimulatedFleet started() {
        SimulatedFleet fleet = SimulatedFleet.started(3, 3);
        fleet.run(Duration.ofSeconds(10));
        assertTrue(fleet.isConverged());
        return fleet;
    }

    private static void write(SimulatedFleet fleet, long expectedVersion) {
        fleet.platform
                .write(SimulatedFleet.INVENTORY, expectedVersion, DOCUMENT)
                .join();
    }

    @Test
    void aChangeReachesNineRoutersWithinFiveSeconds() {
        SimulatedFleet fleet = started();
        for (long version = 1; version <= 20; version++) {
            write(fleet, version - 1);
            long expected = version;
            Optional<Duration> time = fleet.runUntil(() -> fleet.allHaveVersion(expected), BOUND);
            assertTrue(time.isPresent(), "version " + version);
            fleet.run(Duration.ofMillis(300 * version));
        }
    }

    @Test
    void anOlderVersionIsNeverReinstalled() {
        SimulatedFleet fleet = started();
        write(fleet, 0);
        write(fleet, 1);
        fleet.run(BOUND);
        fleet.configure(FIRST, new ConfigurationEvent.ContentReceived(new ConfigurationContent(1, DOCUMENT)));
        fleet.configure(FIRST, new ConfigurationEvent.WatchEnded(Optional.of(new ConfigurationContent(1, DOCUMENT))));
        assertEquals(2, fleet.version(FIRST));
    }

    @Test
    void aRouterThatStartsWhileThePlatformIsDownFetchesFromItsPeers() {
        SimulatedFleet fleet = started();
        write(fleet, 0);
        fleet.run(BOUND);
        fleet.platform.setDown(true);
        fleet.crash(FIRST);
        fleet.run(Duration.ofSeconds(2));
        fleet.start("zone-1", FIRST.value());
        fleet.publishHosts();
        assertTrue(fleet.runUntil(() -> fleet.version(FIRST) == 1, BOUND).isPresent());
    }

    @Test
    void anHourOfOutageKeepsTheVersionAndEndsWithoutABurstOfCalls() {
        SimulatedFleet fleet = started();
        write(fleet, 0);
        fleet.run(BOUND);
        fleet.platform.setDown(true);
        long before = fleet.platform.calls();
        fleet.run(Duration.ofHours(1));
        long duringOutage = fleet.platform.calls() - before;
        assertTrue(duringOutage <= 3600 * 3, duringOutage + " calls in an hour by 6 watchers");
        assertTrue(fleet.allHaveVersion(1));
        assertEquals(List.of(), fleet.lost, "membership must not depend on the platform");
        fleet.platform.setDown(false);
        write(fleet, 1);
        long mostCallsPerSecond = 0;
        for (int second = 0; second < 10; second++) {
            long start = fleet.platform.calls();
            fleet.run(Duration.ofSeconds(1));
            mostCallsPerSecond = Math.max(mostCallsPerSecond, fleet.platform.calls() - start);
        }
        assertTrue(mostCallsPerSecond <= 6, mostCallsPerSecond + " calls in one second");
        assertTrue(fleet.allHaveVersion(2));
    }

    @Test
    void aPausedRouterCatchesUp() {
        SimulatedFleet fleet = started();
        write(fleet, 0);
        fleet.run(BOUND);
        fleet.paused.add(FIRST);
        write(fleet, 1);
        fleet.run(Duration.ofSeconds(30));
        assertEquals(1, fleet.version(FIRST));
        fleet.paused.remove(FIRST);
        assertTrue(fleet.runUntil(() -> fleet.allHaveVersion(2), BOUND).isPresent());
    }
}
