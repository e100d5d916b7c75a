package org.mangowall.standin.runner;

import java.time.Duration;

/**
 * How a stand-in of a runner takes load.
 *
 * @param host the IP address on which it listens
 * @param port the TCP port; 0 takes a free one
 * @param slots the requests that it works on at once when warm
 * @param startLimit the requests that it bears just after a start
 * @param warmUp the time from a start until it is warm
 * @param overloadTolerance how many times the bearable load a cold runner takes before it falls over, at least 1
 * @param restartPause how long it refuses connections after it fell over
 * @param loadLag how old a load report may be
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

    /** A runner on a free loopback port that is warm ten seconds after its start. */
    public static RunnerStandInSettings withDefaults() {
        return new RunnerStandInSettings(
                "127.0.0.1", 0, 16, 2, Duration.ofSeconds(10), 1.5, Duration.ofSeconds(2), Duration.ofMillis(500));
    }

    /** The same runner at another address. */
    public RunnerStandInSettings at(String otherHost, int otherPort) {
        return new RunnerStandInSettings(
                otherHost, otherPort, slots, startLimit, warmUp, overloadTolerance, restartPause, loadLag);
    }

    /** The same runner with other slots and another warm-up. */
    public RunnerStandInSettings withSlots(int otherSlots, Duration otherWarmUp) {
        return new RunnerStandInSettings(
                host, port, otherSlots, startLimit, otherWarmUp, overloadTolerance, restartPause, loadLag);
    }
}
