package org.mangowall.edge.decision;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

/**
 * Compares the engine usage of each workspace with its max-min fair share.
 *
 * <p>When a few workspaces send many times their usual load, their excess is rejected first.
 */
public final class WorkspaceShares {

    private static final int BUCKETS = 8;
    /** How long computed shares are cached. */
    private static final long RECOMPUTE_INTERVAL_NANOS = 100_000_000L;

    /**
     * Fraction of the current usage that is distributed as shares; below 1, so that the largest workspaces exceed their
     * share even when the engines exceed their rated throughput.
     */
    private static final double SHARED_USAGE_FRACTION = 0.95;

    private final long windowNanos;
    private final Map<String, SlidingWindowSum> tokensByWorkspace = new HashMap<>();
    private long computedAt = Long.MIN_VALUE;
    private double ratedShare = Double.POSITIVE_INFINITY;
    private double currentShare = Double.POSITIVE_INFINITY;

    /** Creates the shares over a sliding window of this length. */
    public WorkspaceShares(long windowNanos) {
        this.windowNanos = windowNanos;
    }

    /** Adds the cost of a request that was sent to a runner. */
    public void record(String workspace, double costTokens, long now) {
        tokensByWorkspace
                .computeIfAbsent(workspace, name -> new SlidingWindowSum(windowNanos, BUCKETS))
                .add(costTokens, now);
    }

    /**
     * Returns the usage of a workspace in the window relative to its fair share.
     *
     * @param ratedTokens rated throughput of all engines over the window
     */
    public FairShareUsage usageOf(String workspace, double ratedTokens, long now) {
        if (computedAt == Long.MIN_VALUE || now - computedAt > RECOMPUTE_INTERVAL_NANOS) {
            tokensByWorkspace.values().removeIf(used -> used.sum(now) == 0);
            double[] usages = tokensByWorkspace.values().stream()
                    .mapToDouble(used -> used.sum(now))
                    .sorted()
                    .toArray();
            double totalUsage = Arrays.stream(usages).sum();
            ratedShare = maxMinShare(usages, Math.min(ratedTokens, totalUsage * SHARED_USAGE_FRACTION));
            currentShare = maxMinShare(usages, Math.max(ratedTokens, totalUsage * SHARED_USAGE_FRACTION));
            computedAt = now;
        }
        SlidingWindowSum used = tokensByWorkspace.get(workspace);
        double tokens = used == null ? 0 : used.sum(now);
        return new FairShareUsage(tokens / ratedShare, tokens / currentShare);
    }

    /** Returns the highest cap per workspace at which all usages, each limited to the cap, fit into the capacity. */
    private static double maxMinShare(double[] usages, double capacityTokens) {
        double remaining = capacityTokens;
        for (int index = 0; index < usages.length; index++) {
            double equalShare = remaining / (usages.length - index);
            if (usages[index] > equalShare) {
                return equalShare;
            }
            remaining -= usages[index];
        }
        return Double.POSITIVE_INFINITY;
    }
}
