package org.mangowall.edge.program;

import java.time.Duration;

/**
 * When a host that was told to end does what, within its grace period.
 *
 * @param grace the time from the termination signal to the exit of the process
 */
record ShutdownSchedule(Duration grace) {

    /** Callers learn that the host is leaving within this part; a request that comes later could outlast the rest. */
    private static final double ACCEPTING_FRACTION = 0.35;
    /** Time in which the last responses are sent and the process exits. */
    private static final Duration EXIT_MARGIN = Duration.ofMillis(700);
    /** The margin takes at most this part of a short grace period. */
    private static final int MAX_EXIT_DIVISOR = 4;

    /** How long new requests are accepted. */
    long acceptingMillis() {
        return Math.round(grace.toMillis() * ACCEPTING_FRACTION);
    }

    /** When requests that still run get their final response. */
    long finishingMillis() {
        long margin = Math.min(EXIT_MARGIN.toMillis(), grace.toMillis() / MAX_EXIT_DIVISOR);
        return grace.toMillis() - margin;
    }

    /** When the process exits whatever it still does; between the final responses and the end of the grace period. */
    long lastMillis() {
        return (finishingMillis() + grace.toMillis()) / 2;
    }
}
