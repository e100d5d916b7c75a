package org.mangowall.membership;

import java.lang.management.ManagementFactory;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.mangowall.kernel.name.RouterName;
import org.mangowall.policy.fleet.MemberState;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** The bounds at the sizes of today and of the target; it prints what it measures. */
class TargetSizeTest {

    private static final RouterName FIRST = new RouterName("router-1-1");
    private static final RouterName SECOND = new RouterName("router-2-1");
    private static final long SECONDS_OF_STEADY_STATE = 20;
    private static final long MAXIMUM_BYTES_A_SECOND = 1000;

    @ParameterizedTest
    @CsvSource({"3, 3", "9, 10", "14, 26"})
    void aFleetThatKnowsItselfStaysWithinTheBounds(int zones, int routersPerZone) {
        FakeFleet fleet = FakeFleet.started(zones, routersPerZone);
        fleet.measuring = true;
        fleet.introduceAll();
        fleet.run(Duration.ofSeconds(30));
        assertTrue(fleet.isConverged());
        fleet.bytesOut.clear();
        long processorNanos = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
        fleet.run(Duration.ofSeconds(SECONDS_OF_STEADY_STATE));
        processorNanos = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime() - processorNanos;
        System.out.printf(
                "%d routers: %.4f of a core each, the fake fleet included%n",
                fleet.cores.size(), processorNanos / 1e9 / SECONDS_OF_STEADY_STATE / fleet.cores.size());
        long largest = largest(fleet) / SECONDS_OF_STEADY_STATE;
        assertTrue(largest < MAXIMUM_BYTES_A_SECOND, largest + " bytes a second");
        fleet.lost.clear();
        print("steady state", Optional.of(Duration.ofSeconds(SECONDS_OF_STEADY_STATE)), fleet);
        fleet.bytesOut.clear();
        fleet.platform.write(FakeFleet.INVENTORY, 0, new byte[2000]).join();
        Optional<Duration> inForce = fleet.runUntil(() -> fleet.allHaveVersion(1), Duration.ofSeconds(18));
        assertTrue(inForce.isPresent(), "a configuration is in force everywhere within 18 s");
        print("configuration of 2000 bytes", inForce, fleet);
        fleet.paused.add(SECOND);
        fleet.run(Duration.ofMillis(3900));
        fleet.paused.remove(SECOND);
        fleet.run(Duration.ofSeconds(15));
        assertEquals(List.of(), fleet.lost, "a pause of 3.9 s kills nobody");
        fleet.bytesOut.clear();
        fleet.crash(FIRST);
        Optional<Duration> seen = fleet.runUntil(() -> fleet.allSee(FIRST, MemberState.DEAD), Duration.ofSeconds(25));
        assertTrue(seen.isPresent(), "a crash is seen by all");
        print("crash", seen, fleet);
    }

    private static long largest(FakeFleet fleet) {
        return fleet.bytesOut.values().stream().mapToLong(Long::longValue).max().orElse(0);
    }

    private static void print(String phase, Optional<Duration> time, FakeFleet fleet) {
        System.out.printf(
                "%s: %d ms, most bytes sent by one router %d, all %d%n",
                phase,
                time.orElse(Duration.ZERO).toMillis(),
                largest(fleet),
                fleet.bytesOut.values().stream().mapToLong(Long::longValue).sum());
    }
}
