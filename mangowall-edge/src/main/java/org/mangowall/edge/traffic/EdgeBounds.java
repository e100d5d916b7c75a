package org.mangowall.edge.traffic;

/**
 * Bounds that the operators of a deployment set.
 *
 * @param retriesPerRequest how many repeats a request of the window allows, over all hosts
 * @param retrySlack how many repeats a window allows besides, over all hosts
 * @param retryWindowNanos the length of that window
 * @param shareWindowNanos the window over which workspaces' shares are compared
 */
public record EdgeBounds(double retriesPerRequest, double retrySlack, long retryWindowNanos, long shareWindowNanos) {}
