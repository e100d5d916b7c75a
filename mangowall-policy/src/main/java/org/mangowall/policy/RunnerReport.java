package org.mangowall.policy;

import org.mangowall.kernel.name.RunnerName;

/**
 * Load report of a runner; it lags behind the actual load.
 *
 * @param runner the runner
 * @param startedAtMillis when the runner's process started, milliseconds since 1970 by its own clock
 * @param running the requests of all routers that ran when the report was made
 * @param completed the requests completed since its start
 */
public record RunnerReport(RunnerName runner, long startedAtMillis, int running, long completed) {}
