package org.mangowall.router;

import java.time.Duration;

/**
 * The timing of connections to runners.
 *
 * @param connectTimeout how long opening a connection may take
 * @param pooledIdleTimeout how long an unused connection is kept for requests that may be repeated
 * @param loadPollPeriod the time between two questions for a runner's load
 * @param loadTimeout how long an answer to it may take
 */
public record RunnerSettings(
        Duration connectTimeout, Duration pooledIdleTimeout, Duration loadPollPeriod, Duration loadTimeout) {

    /** The usual timing. */
    public static final RunnerSettings DEFAULTS = new RunnerSettings(
            Duration.ofSeconds(1), Duration.ofSeconds(5), Duration.ofMillis(500), Duration.ofSeconds(1));
}
