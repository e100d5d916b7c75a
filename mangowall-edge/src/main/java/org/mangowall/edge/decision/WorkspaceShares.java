package org.mangowall.edge.decision;

import java.util.HashMap;
import java.util.Iterator;
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

    private final long bucketNanos;
    private final Map<String, double[]> tokensByWorkspace = new HashMap<>();
    private long currentBucket = Long.MIN_VALUE;
    private long computedAt = Long.MIN_VALUE;
    private double ratedLevel = Double.POSITIVE_INFINITY;
    private double takenLevel = Double.POSITIVE_INFINITY;

    /** Shares are kept over a sliding window of this length. */
    public WorkspaceShares(long windowNanos) {
        this.bucketNanos = windowNanos / BUCKETS;
    }

    /** Counts a request that was sent to a runner. */
    public void record(String workspace, double costTokens, long now) {
        advance(now);
        tokensByWorkspace.computeIfAbsent(workspace, name -> new double[BUCKETS])[slot(currentBucket)] += costTokens;
    }

    /**
     * What a workspace took in the window.
     *
     * @param ratedTokens what all engines are rated to bear in the window
     */
    public ShareLoad loadOf(String workspace, double ratedTokens, long now) {
        advance(now);
        if (computedAt == Long.MIN_VALUE || now - computedAt > RECOMPUTE_NANOS) {
            double takenByAll = tokensByWorkspace.values().stream()
                    .mapToDouble(WorkspaceShares::sum)
                    .sum();
            ratedLevel = maxMinLevel(Math.min(ratedTokens, takenByAll * MOST_SHARE_OF_TAKEN));
            takenLevel = maxMinLevel(Math.max(ratedTokens, takenByAll * MOST_SHARE_OF_TAKEN));
            computedAt = now;
        }
        double[] taken = tokensByWorkspace.get(workspace);
        double tokens = taken == null ? 0 : sum(taken);
        return new ShareLoad(tokens / ratedLevel, tokens / takenLevel);
    }

    /** The largest take of a workspace at which the takes of all, each cut there, fit into the capacity. */
    private double maxMinLevel(double capacityTokens) {
        double[] takes = tokensByWorkspace.values().stream()
                .mapToDouble(WorkspaceShares::sum)
                .sorted()
                .toArray();
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

    private void advance(long now) {
        long bucket = Math.floorDiv(now, bucketNanos);
        if (currentBucket == Long.MIN_VALUE) {
            currentBucket = bucket;
        }
        if (bucket <= currentBucket) {
            return;
        }
        long cleared = Math.min(BUCKETS, bucket - currentBucket);
        Iterator<double[]> all = tokensByWorkspace.values().iterator();
        while (all.hasNext()) {
            double[] taken = all.next();
            for (long step = 1; step <= cleared; step++) {
                taken[slot(currentBucket + step)] = 0;
            }
            if (sum(taken) == 0) {
                all.remove();
            }
        }
        currentBucket = bucket;
    }

    private static int slot(long bucket) {
        return (int) Math.floorMod(bucket, (long) BUCKETS);
    }

    private static double sum(double[] values) {
        double total = 0;
        for (double value : values) {
            total += value;
        }
        return total;
    }
}
