package org.mangowall.policy.limit;

/** Limits retries to a fraction of the requests, so that failing runners cause no retry storm. */
public final class RetryBudget {

    private static final double RETRIES_PER_REQUEST = 0.1;
    private static final double MAX_BALANCE_RETRIES = 20;

    private double balance = MAX_BALANCE_RETRIES;

    /** Adds the credit of a request's first attempt. */
    public void recordRequest() {
        balance = Math.min(MAX_BALANCE_RETRIES, balance + RETRIES_PER_REQUEST);
    }

    /** Takes one retry from the budget; returns false if the budget is used up. */
    public boolean tryTake() {
        if (balance < 1) {
            return false;
        }
        balance -= 1;
        return true;
    }
}
