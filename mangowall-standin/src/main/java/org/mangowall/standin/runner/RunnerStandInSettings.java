package org.mangowall.standin.runner;

import java.time.Duration;

/**
 * Address, capacity and overload behaviour of a runner stand-in.
 *
 * @param host the IP address to listen on
 * @param port the TCP port; 0 selects a free one
 * @param slots the number of concurrent requests when warm
 * @param startLimit the capacity in concurrent requests right after a start
 * @param warmUp the time from a start until the runner is warm
 * @param overloadTolerance the multiple of its capacity that a cold runner accepts before it crashes, at least 1
 * @param restartPause how long the runner refuses connections after a crash
 * @param loadLag the update period of load reports, which is their maximum age
 */
public record RunnerStandInSettings(
        String host,
        int port,
        int slots,
        int startLimit,
        Duration warmUp,
        double overloadTolerance,
        Duration restartPause,
        Duration loadLag) {

    /** Returns the settings of a runner on a free loopback port with a warm-up of ten seconds. */
    public static RunnerStandInSettings withDefaults() {
        return new RunnerStandInSettings(
                "127.0.0.1", 0, 16, 2, Duration.ofSeconds(10), 1.5, Duration.ofSeconds(2), Duration.ofMillis(500));
    }

    /** Returns a copy with another address. */
    public RunnerStandInSettings withAddress(String otherHost, int otherPort) {
        return new RunnerStandInSettings(
                otherHost, otherPort, slots, startLimit, warmUp, overloadTolerance, restartPause, loadLag);
    }

    /** Returns a copy with another number of slots and another warm-up. */
    public RunnerStandInSettings withSlots(int otherSlots, Duration otherWarmUp) {
        return new RunnerStandInSettings(
                host, port, otherSlots, startLimit, otherWarmUp, overloadTolerance, restartPause, loadLag);
    }
}
