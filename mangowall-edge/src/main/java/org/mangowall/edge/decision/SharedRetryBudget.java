package org.mangowall.edge.decision;

/**
 * Bounds how often requests of a service are sent once more, so that all hosts together stay under the fleet's bound.
 *
 * <p>Answers a load in which runners fail or shed many requests at once: repeats must not multiply it.
 */
public final class SharedRetryBudget {

    private static final int BUCKETS = 10;
    /** What is kept back of the bound, since windows of hosts aren't aligned. */
    private static final double USED_SHARE = 0.7;

    private final double retriesPerRequest;
    private final double slack;
    private final long bucketNanos;
    private final double[] requests = new double[BUCKETS];
    private final double[] retries = new double[BUCKETS];
    private long currentBucket = Long.MIN_VALUE;

    /**
     * Starts a budget.
     *
     * @param retriesPerRequest how many retries each request of the window allows
     * @param slack how many retries a window allows besides, for all hosts together
     */
    public SharedRetryBudget(double retriesPerRequest, double slack, long windowNanos) {
        this.retriesPerRequest = retriesPerRequest;
        this.slack = slack;
        this.bucketNanos = windowNanos / BUCKETS;
    }

    /** Counts a request of a caller. */
    public void recordRequest(long now) {
        advance(now);
        requests[slot(currentBucket)] += 1;
    }

    /** Takes one retry from this host's part of the budget, if there is one. */
    public boolean tryTake(int hosts, long now) {
        advance(now);
        double allowed = USED_SHARE * (retriesPerRequest * sum(requests) + slack / Math.max(1, hosts));
        if (sum(retries) + 1 > allowed) {
            return false;
        }
        retries[slot(currentBucket)] += 1;
        return true;
    }

    private void advance(long now) {
        long bucket = Math.floorDiv(now, bucketNanos);
        if (currentBucket == Long.MIN_VALUE) {
            currentBucket = bucket;
        }
        long cleared = Math.min(BUCKETS, bucket - currentBucket);
        for (long step = 1; step <= cleared; step++) {
            requests[slot(currentBucket + step)] = 0;
            retries[slot(currentBucket + step)] = 0;
        }
        currentBucket = Math.max(currentBucket, bucket);
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
