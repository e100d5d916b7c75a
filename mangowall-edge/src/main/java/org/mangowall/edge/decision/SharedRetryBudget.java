package org.mangowall.edge.decision;

/**
 * Limits the retries of one host for a service, so that all hosts together stay below the retry limit of the fleet.
 *
 * <p>Prevents retries from multiplying the load when runners fail or reject many requests at once.
 */
public final class SharedRetryBudget {

    private static final int BUCKETS = 10;
    /** Fraction of the limit that is used, because the windows of the hosts aren't aligned. */
    private static final double USABLE_FRACTION = 0.7;

    private final double retriesPerRequest;
    private final double slackRetries;
    private final SlidingWindowSum requests;
    private final SlidingWindowSum retries;

    /**
     * Creates an unused budget.
     *
     * @param retriesPerRequest retries allowed for each request in the window
     * @param slackRetries additional retries allowed in a window, for all hosts together
     */
    public SharedRetryBudget(double retriesPerRequest, double slackRetries, long windowNanos) {
        this.retriesPerRequest = retriesPerRequest;
        this.slackRetries = slackRetries;
        this.requests = new SlidingWindowSum(windowNanos, BUCKETS);
        this.retries = new SlidingWindowSum(windowNanos, BUCKETS);
    }

    /** Counts a new request of a caller. */
    public void recordRequest(long now) {
        requests.add(1, now);
    }

    /** Takes one retry from this host's part of the budget; returns false when the budget is used up. */
    public boolean tryTake(int hosts, long now) {
        double allowed = USABLE_FRACTION * (retriesPerRequest * requests.sum(now) + slackRetries / Math.max(1, hosts));
        if (retries.sum(now) + 1 > allowed) {
            return false;
        }
        retries.add(1, now);
        return true;
    }
}
