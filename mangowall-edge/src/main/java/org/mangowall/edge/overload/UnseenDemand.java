package org.mangowall.edge.overload;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Estimates what callers ask for while a host refuses their connections, by what arrived while it accepted them.
 *
 * <p>Load: a large workspace enters at one host, which refuses most of its connections. Nobody reads those requests,
 * and without an estimate the workspace seems to ask for what it gets.
 */
public final class UnseenDemand {

    /** What arrived longer ago says nothing about now. */
    private static final long MAX_OPEN_NANOS = TimeUnit.SECONDS.toNanos(1);
    /** Lower bound of the time over which arrivals are averaged: some of them have waited for the gate to open. */
    private static final long MIN_OPEN_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

    private final Map<String, Long> arrivedTokens = new HashMap<>();
    private boolean isOpen = true;
    private long changedAt;
    private long openNanos;

    /** Begins with a host that accepts connections. */
    public UnseenDemand(long now) {
        changedAt = now;
    }

    /** Records a request that has arrived. */
    public void arrived(String workspace, long costTokens, long now) {
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
    public void closed(long now) {
        isOpen = false;
        openNanos = Math.max(MIN_OPEN_NANOS, now - changedAt);
        changedAt = now;
    }

    /** The host accepts connections again; returns what each workspace has asked for meanwhile, in tokens. */
    public Map<String, Long> opened(long now) {
        double ratio = (double) (now - changedAt) / openNanos;
        Map<String, Long> unseen = new HashMap<>();
        arrivedTokens.forEach((workspace, tokens) -> unseen.put(workspace, Math.round(tokens * ratio)));
        isOpen = true;
        changedAt = now;
        arrivedTokens.clear();
        return unseen;
    }
}
