package org.mangowall.edge.decision;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

/**
 * Tells which workspaces take more than their max-min share of the engines.
 *
 * <p>Answers a load in which a few workspaces send many times their usual: their surplus is turned away first.
 */
public final class WorkspaceShares {

    private static final int BUCKETS = 8;
    /** How long a computed share is used before it is computed anew. */
    private static final long RECOMPUTE_NANOS = 100_000_000L;

    /** When the engines bear more than their rated throughput, the largest workspaces still yield first. */
    private static final double MOST_SHARE_OF_TAKEN = 0.95;

    private final long windowNanos;
    private final Map<String, SlidingSum> tokensByWorkspace = new HashMap<>();
    private long computedAt = Long.MIN_VALUE;
    private double ratedLevel = Double.POSITIVE_INFINITY;
    private double takenLevel = Double.POSITIVE_INFINITY;

    /** Shares are kept over a sliding window of this length. */
    public WorkspaceShares(long windowNanos) {
        this.windowNanos = windowNanos;
    }

    /** Counts a request that was sent to a runner. */
    public void record(String workspace, double costTokens, long now) {
        tokensByWorkspace
                .computeIfAbsent(workspace, name -> new SlidingSum(windowNanos, BUCKETS))
                .add(costTokens, now);
    }

    /**
     * What a workspace took in the window.
     *
     * @param ratedTokens what all engines are rated to bear in the window
     */
    public ShareLoad loadOf(String workspace, double ratedTokens, long now) {
        if (computedAt == Long.MIN_VALUE || now - computedAt > RECOMPUTE_NANOS) {
            tokensByWorkspace.values().removeIf(taken -> taken.sum(now) == 0);
            double[] takes = tokensByWorkspace.values().stream()
                    .mapToDouble(taken -> taken.sum(now))
                    .sorted()
                    .toArray();
            double takenByAll = Arrays.stream(takes).sum();
            ratedLevel = maxMinLevel(takes, Math.min(ratedTokens, takenByAll * MOST_SHARE_OF_TAKEN));
            takenLevel = maxMinLevel(takes, Math.max(ratedTokens, takenByAll * MOST_SHARE_OF_TAKEN));
            computedAt = now;
        }
        SlidingSum taken = tokensByWorkspace.get(workspace);
        double tokens = taken == null ? 0 : taken.sum(now);
        return new ShareLoad(tokens / ratedLevel, tokens / takenLevel);
    }

    /** The largest take of a workspace at which the takes of all, each cut there, fit into the capacity. */
    private static double maxMinLevel(double[] takes, double capacityTokens) {
        double rest = capacityTokens;
        for (int index = 0; index < takes.length; index++) {
            double even = rest / (takes.length - index);
            if (takes[index] > even) {
                return even;
            }
            rest -= takes[index];
        }
        return Double.POSITIVE_INFINITY;
    }
}
