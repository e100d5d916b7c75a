package org.mangowall.policy;

import org.mangowall.kernel.name.RunnerName;

/**
 * What a runner says of its own load; it lags behind the truth.
 *
 * @param runner the runner
 * @param startedAtMillis when the runner's process started, milliseconds since 1970 by its own clock
 * @param running the requests that ran when the report was made, those of all routers together
 * @param completed the requests completed since its start
 */
public record RunnerReport(RunnerName runner, long startedAtMillis, int running, long completed) {}
