package org.mangowall.router;

import java.time.Duration;

/**
 * Timeouts of connections to runners and the period of load polls.
 *
 * @param connectTimeout how long opening a connection may take
 * @param pooledIdleTimeout how long an idle connection is kept in the pool for repeatable requests
 * @param loadPollPeriod the mean time between two load requests to a runner
 * @param loadTimeout how long the answer to a load request may take
 */
public record RunnerSettings(
        Duration connectTimeout, Duration pooledIdleTimeout, Duration loadPollPeriod, Duration loadTimeout) {

    /** The default values. */
    public static final RunnerSettings DEFAULTS = new RunnerSettings(
            Duration.ofSeconds(1), Duration.ofSeconds(5), Duration.ofMillis(500), Duration.ofSeconds(1));
}
