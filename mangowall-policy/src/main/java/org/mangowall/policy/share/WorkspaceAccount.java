package org.mangowall.policy.share;

import java.util.HashMap;
import java.util.Map;

import org.mangowall.kernel.name.RouterName;
import org.mangowall.kernel.name.WorkspaceName;

/** The counters of one workspace for one service: this router's own and those of other incarnations. */
final class WorkspaceAccount {

    private final WorkspaceName workspace;
    private final Map<Origin, Counters> others = new HashMap<>();
    private final CostEstimate estimate = new CostEstimate();
    private double charged;
    private double refunded;
    private double lift;
    private double othersNetCost;
    private long lastBacklogged = Long.MIN_VALUE / 2;
    private boolean changed;
    private int unchangedExchanges = Integer.MAX_VALUE / 2;

    WorkspaceAccount(WorkspaceName workspace) {
        this.workspace = workspace;
    }

    WorkspaceName workspace() {
        return workspace;
    }

    CostEstimate estimate() {
        return estimate;
    }

    double charged() {
        return charged;
    }

    double refunded() {
        return refunded;
    }

    double lift() {
        return lift;
    }

    Map<Origin, Counters> others() {
        return others;
    }

    double served() {
        return charged - refunded + othersNetCost;
    }

    double virtualTime() {
        return served() + lift;
    }

    void charge(double amount) {
        charged += amount;
        changed = true;
    }

    void refund(double amount) {
        refunded += amount;
        changed = true;
    }

    void liftTo(double floor) {
        double deficit = floor - virtualTime();
        if (deficit <= 0) {
            return;
        }
        lift += deficit;
        changed = true;
    }

    void mergeLift(double otherLift) {
        lift = Math.max(lift, otherLift);
    }

    void merge(Origin origin, double otherCharged, double otherRefunded) {
        Counters known = others.getOrDefault(origin, Counters.NONE);
        Counters merged = known.merge(otherCharged, otherRefunded);
        others.put(origin, merged);
        othersNetCost += merged.net() - known.net();
    }

    void restoreOwn(double ownCharged, double ownRefunded) {
        charged = Math.max(charged, ownCharged);
        refunded = Math.max(refunded, ownRefunded);
    }

    void markBacklogged(long now) {
        lastBacklogged = now;
    }

    long lastBacklogged() {
        return lastBacklogged;
    }

    /** Counts a periodic exchange. */
    void countExchange() {
        unchangedExchanges = changed ? 0 : unchangedExchanges + 1;
        changed = false;
    }

    /** The number of periodic exchanges since the one with the last change; 0 also if a change is not yet sent. */
    int unchangedExchanges() {
        return changed ? 0 : unchangedExchanges;
    }

    /** An incarnation of a router that owns counters. */
    record Origin(RouterName router, long incarnation) {}

    /** The cost divided by weight that one incarnation charged and refunded. */
    record Counters(double charged, double refunded) {

        static final Counters NONE = new Counters(0, 0);

        Counters merge(double otherCharged, double otherRefunded) {
            return new Counters(Math.max(charged, otherCharged), Math.max(refunded, otherRefunded));
        }

        double net() {
            return charged - refunded;
        }
    }
}
