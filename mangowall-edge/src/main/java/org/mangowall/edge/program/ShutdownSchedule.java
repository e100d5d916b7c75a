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

    private static final Duration MAX_FINAL_RESPONSES = Duration.ofMillis(150);
    /** The part of a short margin in which final responses are sent. */
    private static final int FINAL_RESPONSES_DIVISOR = 4;
    /** The part of the margin that is left when the process exits whatever it does. */
    private static final int LAST_DIVISOR = 3;

    /** How long new requests are accepted. */
    long acceptingMillis() {
        return Math.round(grace.toMillis() * ACCEPTING_FRACTION);
    }

    /** When requests that still run get their final response. */
    long finishingMillis() {
        return grace.toMillis() - exitMarginMillis();
    }

    /** Time in which final responses are sent. */
    long finalResponsesMillis() {
        return Math.min(MAX_FINAL_RESPONSES.toMillis(), exitMarginMillis() / FINAL_RESPONSES_DIVISOR);
    }

    /** When the process exits whatever it still does. */
    long lastMillis() {
        return grace.toMillis() - exitMarginMillis() / LAST_DIVISOR;
    }

    private long exitMarginMillis() {
        return Math.min(EXIT_MARGIN.toMillis(), grace.toMillis() / MAX_EXIT_DIVISOR);
    }
}
