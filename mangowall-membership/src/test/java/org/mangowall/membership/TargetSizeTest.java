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

/** Bounds on traffic, configuration distribution, pauses and crashes at 9, 90 and 364 routers; prints its figures. */
class TargetSizeTest {

    private static final RouterName FIRST = new RouterName("router-1-1");
    private static final RouterName SECOND = new RouterName("router-2-1");
    private static final long STEADY_STATE_SECONDS = 20;
    private static final long MAXIMUM_BYTES_PER_SECOND = 1000;

    @ParameterizedTest
    @CsvSource({"3, 3", "9, 10", "14, 26"})
    void aConvergedFleetStaysWithinTheBounds(int zones, int routersPerZone) {
        SimulatedFleet fleet = SimulatedFleet.started(zones, routersPerZone);
        fleet.countsBytes = true;
        fleet.deliverMemberLists();
        fleet.run(Duration.ofSeconds(30));
        assertTrue(fleet.isConverged());
        fleet.bytesSent.clear();
        long processorNanos = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
        fleet.run(Duration.ofSeconds(STEADY_STATE_SECONDS));
        processorNanos = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime() - processorNanos;
        System.out.printf(
                "%d routers: %.4f of a core each, the simulation included%n",
                fleet.cores.size(), processorNanos / 1e9 / STEADY_STATE_SECONDS / fleet.cores.size());
        long mostBytesSent = mostBytesSent(fleet) / STEADY_STATE_SECONDS;
        assertTrue(mostBytesSent < MAXIMUM_BYTES_PER_SECOND, mostBytesSent + " bytes a second");
        fleet.lost.clear();
        print("steady state", Optional.of(Duration.ofSeconds(STEADY_STATE_SECONDS)), fleet);
        fleet.bytesSent.clear();
        fleet.platform.write(SimulatedFleet.INVENTORY, 0, new byte[2000]).join();
        Optional<Duration> configurationTime = fleet.runUntil(() -> fleet.allHaveVersion(1), Duration.ofSeconds(18));
        assertTrue(configurationTime.isPresent(), "all routers have the configuration within 18 s");
        print("configuration of 2000 bytes", configurationTime, fleet);
        fleet.paused.add(SECOND);
        fleet.run(Duration.ofMillis(3900));
        fleet.paused.remove(SECOND);
        fleet.run(Duration.ofSeconds(15));
        assertEquals(List.of(), fleet.lost, "a pause of 3.9 s reports no router lost");
        fleet.bytesSent.clear();
        fleet.crash(FIRST);
        Optional<Duration> crashTime =
                fleet.runUntil(() -> fleet.allSee(FIRST, MemberState.DEAD), Duration.ofSeconds(25));
        assertTrue(crashTime.isPresent(), "all routers see the crash within 25 s");
        print("crash", crashTime, fleet);
    }

    private static long mostBytesSent(SimulatedFleet fleet) {
        return fleet.bytesSent.values().stream()
                .mapToLong(Long::longValue)
                .max()
                .orElse(0);
    }

    private static void print(String phase, Optional<Duration> time, SimulatedFleet fleet) {
        System.out.printf(
                "%s: %d ms, most bytes sent by one router %d, all %d%n",
                phase,
                time.orElse(Duration.ZERO).toMillis(),
                mostBytesSent(fleet),
                fleet.bytesSent.values().stream().mapToLong(Long::longValue).sum());
    }
}
