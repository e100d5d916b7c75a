package org.mangowall.edge.overload;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Estimates what callers ask for while this host refuses their connections, by the rate of arrivals before.
 *
 * <p>Load: a large workspace enters at one host, which refuses most of its connections. Those requests are never read,
 * so without an estimate the workspace seems to ask for no more than it gets.
 */
public final class RefusedDemandEstimate {

    /** What arrived longer ago says nothing about now. */
    private static final long MAX_OPEN_NANOS = TimeUnit.SECONDS.toNanos(1);
    /** Lower bound of the time over which arrivals are averaged: some of them have waited for the gate to open. */
    private static final long MIN_OPEN_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

    private final Map<String, Long> arrivedTokens = new HashMap<>();
    private boolean isOpen = true;
    private long changedAt;
    private long openNanos;

    /** Begins with a host that accepts connections. */
    public RefusedDemandEstimate(long now) {
        changedAt = now;
    }

    /** Records a request that has arrived. */
    public void recordArrival(String workspace, long costTokens, long now) {
        if (!isOpen) {
            return;
        }
        if (now - changedAt > MAX_OPEN_NANOS) {
            changedAt = now;
            arrivedTokens.clear();
        }
        arrivedTokens.merge(workspace, costTokens, Long::sum);
    }

    /** The host refuses connections from now on. */
    public void entryClosed(long now) {
        isOpen = false;
        openNanos = Math.max(MIN_OPEN_NANOS, now - changedAt);
        changedAt = now;
    }

    /** The host accepts connections again; returns the estimate for each workspace, in tokens. */
    public Map<String, Long> entryOpened(long now) {
        double ratio = (double) (now - changedAt) / openNanos;
        Map<String, Long> estimated = new HashMap<>();
        arrivedTokens.forEach((workspace, tokens) -> estimated.put(workspace, Math.round(tokens * ratio)));
        isOpen = true;
        changedAt = now;
        arrivedTokens.clear();
        return estimated;
    }
}
