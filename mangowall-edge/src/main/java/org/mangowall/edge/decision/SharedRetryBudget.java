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
    private final SlidingSum requests;
    private final SlidingSum retries;

    /**
     * Starts a budget.
     *
     * @param retriesPerRequest how many retries each request of the window allows
     * @param slack how many retries a window allows besides, for all hosts together
     */
    public SharedRetryBudget(double retriesPerRequest, double slack, long windowNanos) {
        this.retriesPerRequest = retriesPerRequest;
        this.slack = slack;
        this.requests = new SlidingSum(windowNanos, BUCKETS);
        this.retries = new SlidingSum(windowNanos, BUCKETS);
    }

    /** Counts a request of a caller. */
    public void recordRequest(long now) {
        requests.add(1, now);
    }

    /** Takes one retry from this host's part of the budget, if there is one. */
    public boolean tryTake(int hosts, long now) {
        double allowed = USED_SHARE * (retriesPerRequest * requests.sum(now) + slack / Math.max(1, hosts));
        if (retries.sum(now) + 1 > allowed) {
            return false;
        }
        retries.add(1, now);
        return true;
    }
}
