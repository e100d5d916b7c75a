package org.mangowall.edge.traffic;

/**
 * Limits that the operators of a deployment configure.
 *
 * @param retriesPerRequest retries that each request of the window adds to the retry budget, over all hosts
 * @param retrySlack retries allowed in each window in addition, over all hosts
 * @param retryWindowNanos the length of the retry budget's window
 * @param shareWindowNanos the window over which workspaces' shares are compared
 */
public record EdgeBounds(double retriesPerRequest, double retrySlack, long retryWindowNanos, long shareWindowNanos) {}
