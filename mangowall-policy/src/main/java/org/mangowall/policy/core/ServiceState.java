package org.mangowall.policy.core;

import org.mangowall.kernel.name.ServiceName;
import org.mangowall.policy.limit.RetryBudget;
import org.mangowall.policy.share.ShareLedger;

/** All that one home keeps of one service. */
final class ServiceState {

    private static final double SMOOTHING = 0.1;
    private static final long LONGEST_INTERVAL_MILLISECONDS = 10_000;

    private final ServiceName name;
    private final ShareLedger ledger;
    private final WaitingQueue queue;
    private final RunnerPool pool;
    private final RetryBudget retryBudget = new RetryBudget();
    private int exchangeRotation = 1;
    private long lastDispatch;
    private double dispatchInterval = LONGEST_INTERVAL_MILLISECONDS;

    ServiceState(CoreContext context, ServiceName name) {
        this.name = name;
        this.ledger = new ShareLedger(context.identity());
        this.queue = new WaitingQueue(context.traits().queueOrder(), ledger);
        this.pool = new RunnerPool(context, name);
    }

    ServiceName name() {
        return name;
    }

    ShareLedger ledger() {
        return ledger;
    }

    WaitingQueue queue() {
        return queue;
    }

    RunnerPool pool() {
        return pool;
    }

    RetryBudget retryBudget() {
        return retryBudget;
    }

    /** The exchanges that it takes until all other homes are told once. */
    int exchangeRotation() {
        return exchangeRotation;
    }

    void rotateExchangesOver(int exchanges) {
        exchangeRotation = exchanges;
    }

    void countDispatch(long now) {
        long interval = Math.min(LONGEST_INTERVAL_MILLISECONDS, now - lastDispatch);
        lastDispatch = now;
        dispatchInterval += SMOOTHING * (interval - dispatchInterval);
    }

    /** The average time between two requests sent, in milliseconds. */
    double dispatchInterval() {
        return dispatchInterval;
    }
}
