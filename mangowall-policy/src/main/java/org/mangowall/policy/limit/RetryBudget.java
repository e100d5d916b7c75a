package org.mangowall.policy.limit;

/** Bounds retries to a share of the requests, so that failing runners cause no retry storm. */
public final class RetryBudget {

    private static final double RETRIES_PER_REQUEST = 0.1;
    private static final double LARGEST_BALANCE_RETRIES = 20;

    private double balance = LARGEST_BALANCE_RETRIES;

    /** Counts a request's first try. */
    public void recordRequest() {
        balance = Math.min(LARGEST_BALANCE_RETRIES, balance + RETRIES_PER_REQUEST);
    }

    /** Takes one retry from the budget, if there is one. */
    public boolean tryTake() {
        if (balance < 1) {
            return false;
        }
        balance -= 1;
        return true;
    }
}
