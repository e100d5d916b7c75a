package org.mangowall.edge.decision;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Compares the engine usage of each workspace with its max-min fair share of what all workspaces ask for.
 *
 * <p>What was turned away counts as asked: a workspace that is refused most of its requests still has a claim to its
 * share, and those that use more than theirs are rejected first.
 *
 * <p>What a workspace gets may be bounded by something other than runners, such as the processor of the host at which
 * all its callers enter. The others are then throttled, so that they don't get many times as much.
 */
public final class WorkspaceShares {

    private static final int BUCKETS = 8;
    /** Parts of the window that tell what a workspace asks now. */
    private static final int RECENT_BUCKETS = 3;
    /** How long computed shares are cached. */
    private static final long RECOMPUTE_INTERVAL_NANOS = 100_000_000L;

    /**
     * Fraction of the current usage that is distributed as shares; below 1, so that the largest workspaces exceed their
     * share even when the engines exceed their rated throughput.
     */
    private static final double SHARED_USAGE_FRACTION = 0.95;

    /** Part of what a workspace asks that it must lack to count as one that waits. */
    private static final double MIN_UNMET_FRACTION = 0.2;
    /** The limit of usage as a multiple of the usage of the worst served workspace that waits. */
    private static final double MAX_BALANCE_RATIO = 1.5;

    /** Fraction of this limit from which requests are throttled. */
    private static final double THROTTLING_START_FRACTION = 0.8;

    private final long windowNanos;
    private final Map<String, SlidingWindowSum> tokensByWorkspace = new HashMap<>();
    private final Map<String, Double> waitingByWorkspace = new HashMap<>();
    private final Map<String, SlidingWindowSum> turnedAwayByWorkspace = new HashMap<>();
    private long computedAt = Long.MIN_VALUE;
    private double ratedShare = Double.POSITIVE_INFINITY;
    private double currentShare = Double.POSITIVE_INFINITY;
    /** The usage in the window above which a workspace is throttled in favour of a worse served one. */
    private double throttlingLimit = Double.POSITIVE_INFINITY;

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
        double tokens = usedTokens(workspace, now);
        return tokens == 0
                ? FairShareUsage.ZERO
                : new FairShareUsage(
                        tokens / ratedShare, tokens / currentShare, admittedFraction(workspace, tokens, now));
    }

    private double usedTokens(String workspace, long now) {
        SlidingWindowSum used = tokensByWorkspace.get(workspace);
        return waitingByWorkspace.getOrDefault(workspace, 0.0) + (used == null ? 0 : used.sum(now));
    }

    /**
     * Returns the part of a workspace's requests to admit. A cap on its recent usage would make it oscillate: the hosts
     * hear of each other's requests with a delay, in which far more than the cap may arrive.
     */
    private double admittedFraction(String workspace, double usedTokens, long now) {
        if (usedTokens < THROTTLING_START_FRACTION * throttlingLimit) {
            return 1;
        }
        SlidingWindowSum used = tokensByWorkspace.get(workspace);
        SlidingWindowSum turnedAway = turnedAwayByWorkspace.get(workspace);
        double recentTokens = waitingByWorkspace.getOrDefault(workspace, 0.0)
                + (used == null ? 0 : used.recentSum(RECENT_BUCKETS, now))
                + (turnedAway == null ? 0 : turnedAway.recentSum(RECENT_BUCKETS, now));
        return Math.min(1, throttlingLimit * RECENT_BUCKETS / BUCKETS / recentTokens);
    }

    /** Returns what the workspaces that asked most in the window asked and used, the largest first. */
    List<WorkspaceDemand> largest(int count, long now) {
        Set<String> names = new HashSet<>(waitingByWorkspace.keySet());
        names.addAll(tokensByWorkspace.keySet());
        names.addAll(turnedAwayByWorkspace.keySet());
        return names.stream()
                .map(name -> new WorkspaceDemand(name, usedTokens(name, now), turnedAwayTokens(name, now)))
                .sorted(Comparator.comparingDouble(WorkspaceDemand::askedTokens).reversed())
                .limit(count)
                .toList();
    }

    private double turnedAwayTokens(String workspace, long now) {
        SlidingWindowSum turnedAway = turnedAwayByWorkspace.get(workspace);
        return turnedAway == null ? 0 : turnedAway.sum(now);
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
        throttlingLimit = Math.max(ratedShare, MAX_BALANCE_RATIO * leastUsedByWaiting(now));
        computedAt = now;
    }

    /** The least usage of a workspace that asks for more than its share and is turned away all the time. */
    private double leastUsedByWaiting(long now) {
        double least = Double.POSITIVE_INFINITY;
        for (Map.Entry<String, SlidingWindowSum> entry : turnedAwayByWorkspace.entrySet()) {
            double used = usedTokens(entry.getKey(), now);
            double lacking = entry.getValue().sum(now);
            boolean isWaiting = entry.getValue().isSteady(RECENT_BUCKETS, now)
                    && used + lacking > ratedShare
                    && lacking > MIN_UNMET_FRACTION * (used + lacking);
            least = isWaiting ? Math.min(least, used) : least;
        }
        return least;
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
