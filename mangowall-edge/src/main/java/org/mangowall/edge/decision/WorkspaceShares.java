package org.mangowall.edge.decision;

import java.util.HashMap;
import java.util.Map;

/**
 * Compares the engine usage of each workspace with its max-min fair share of what all workspaces ask for.
 *
 * <p>What was turned away counts as asked: a workspace that is refused most of its requests still has a claim to its
 * share, and those that use more than theirs are rejected first.
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
    private final Map<String, Double> waitingByWorkspace = new HashMap<>();
    private final Map<String, SlidingWindowSum> turnedAwayByWorkspace = new HashMap<>();
    private long computedAt = Long.MIN_VALUE;
    private double ratedShare = Double.POSITIVE_INFINITY;
    private double currentShare = Double.POSITIVE_INFINITY;

    /** Creates the shares over a sliding window of this length. */
    public WorkspaceShares(long windowNanos) {
        this.windowNanos = windowNanos;
    }

    /** Adds the cost of a request whose run has begun. */
    public void record(String workspace, double costTokens, long now) {
        windowOf(tokensByWorkspace, workspace).add(costTokens, now);
    }

    /** Counts a request that was sent to a runner until {@link #endWait}. */
    void beginWait(String workspace, double costTokens) {
        waitingByWorkspace.merge(workspace, costTokens, Double::sum);
    }

    /** Stops counting a request as waiting: its run has begun, or it ended without a run. */
    void endWait(String workspace, double costTokens) {
        waitingByWorkspace.computeIfPresent(
                workspace, (name, waiting) -> waiting <= costTokens ? null : waiting - costTokens);
    }

    /** Adds the cost of requests that were turned away because the fleet is busy. */
    void recordTurnedAway(String workspace, double costTokens, long now) {
        windowOf(turnedAwayByWorkspace, workspace).add(costTokens, now);
    }

    private SlidingWindowSum windowOf(Map<String, SlidingWindowSum> windows, String workspace) {
        return windows.computeIfAbsent(workspace, name -> new SlidingWindowSum(windowNanos, BUCKETS));
    }

    /**
     * Returns the usage of a workspace in the window relative to its fair share.
     *
     * @param ratedTokens rated throughput of all engines over the window
     */
    public FairShareUsage usageOf(String workspace, double ratedTokens, long now) {
        if (computedAt == Long.MIN_VALUE || now - computedAt > RECOMPUTE_INTERVAL_NANOS) {
            recompute(ratedTokens, now);
        }
        SlidingWindowSum used = tokensByWorkspace.get(workspace);
        double tokens = waitingByWorkspace.getOrDefault(workspace, 0.0) + (used == null ? 0 : used.sum(now));
        return tokens == 0 ? FairShareUsage.ZERO : new FairShareUsage(tokens / ratedShare, tokens / currentShare);
    }

    private void recompute(double ratedTokens, long now) {
        tokensByWorkspace.values().removeIf(used -> used.sum(now) == 0);
        turnedAwayByWorkspace.values().removeIf(turnedAway -> turnedAway.sum(now) == 0);
        Map<String, Double> asked = new HashMap<>(waitingByWorkspace);
        tokensByWorkspace.forEach((workspace, used) -> asked.merge(workspace, used.sum(now), Double::sum));
        double currentTokens =
                asked.values().stream().mapToDouble(Double::doubleValue).sum() * SHARED_USAGE_FRACTION;
        turnedAwayByWorkspace.forEach(
                (workspace, turnedAway) -> asked.merge(workspace, turnedAway.sum(now), Double::sum));
        double[] claims = asked.values().stream()
                .mapToDouble(Double::doubleValue)
                .sorted()
                .toArray();
        ratedShare = maxMinShare(claims, Math.min(ratedTokens, currentTokens));
        currentShare = maxMinShare(claims, currentTokens);
        computedAt = now;
    }

    /** Returns the highest cap per workspace at which all claims, each limited to the cap, fit into the capacity. */
    private static double maxMinShare(double[] claims, double capacityTokens) {
        double remaining = capacityTokens;
        for (int index = 0; index < claims.length; index++) {
            double equalShare = remaining / (claims.length - index);
            if (claims[index] > equalShare) {
                return equalShare;
            }
            remaining -= claims[index];
        }
        return Double.POSITIVE_INFINITY;
    }
}
