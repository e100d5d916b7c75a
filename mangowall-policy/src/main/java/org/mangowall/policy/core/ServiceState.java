package org.mangowall.policy.core;

import org.mangowall.kernel.name.ServiceName;
import org.mangowall.policy.limit.RetryBudget;
import org.mangowall.policy.share.ShareLedger;

/** State that one home keeps for one service. */
final class ServiceState {

    private static final double SMOOTHING_FACTOR = 0.1;
    private static final long MAX_DISPATCH_INTERVAL_MILLISECONDS = 10_000;

    private final ServiceName name;
    private final ShareLedger ledger;
    private final WaitingQueue queue;
    private final RunnerPool pool;
    private final RetryBudget retryBudget = new RetryBudget();
    private int exchangeRotation = 1;
    private long lastDispatch;
    private double dispatchInterval = MAX_DISPATCH_INTERVAL_MILLISECONDS;

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

    /** The number of exchanges until each other home has received one. */
    int exchangeRotation() {
        return exchangeRotation;
    }

    void setExchangeRotation(int exchanges) {
        exchangeRotation = exchanges;
    }

    void recordDispatchTime(long now) {
        long interval = Math.min(MAX_DISPATCH_INTERVAL_MILLISECONDS, now - lastDispatch);
        lastDispatch = now;
        dispatchInterval += SMOOTHING_FACTOR * (interval - dispatchInterval);
    }

    /** The moving average of the time between two dispatches, in milliseconds. */
    double dispatchInterval() {
        return dispatchInterval;
    }
}
