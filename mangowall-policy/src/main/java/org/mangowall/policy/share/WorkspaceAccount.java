package org.mangowall.policy.share;

import java.util.HashMap;
import java.util.Map;

import org.mangowall.kernel.name.RouterName;
import org.mangowall.kernel.name.WorkspaceName;

/** One workspace's counters for one service: this router's own and those of the others. */
final class WorkspaceAccount {

    private final WorkspaceName workspace;
    private final Map<Origin, Counters> others = new HashMap<>();
    private final CostEstimate estimate = new CostEstimate();
    private double charged;
    private double refunded;
    private double lift;
    private double othersNet;
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
        return charged - refunded + othersNet;
    }

    double tag() {
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
        double lack = floor - tag();
        if (lack <= 0) {
            return;
        }
        lift += lack;
        changed = true;
    }

    void mergeLift(double otherLift) {
        lift = Math.max(lift, otherLift);
    }

    void merge(Origin origin, double otherCharged, double otherRefunded) {
        Counters known = others.getOrDefault(origin, Counters.NONE);
        Counters merged = known.merge(otherCharged, otherRefunded);
        others.put(origin, merged);
        othersNet += merged.net() - known.net();
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

    /** An exchange in turn is made. */
    void countExchange() {
        unchangedExchanges = changed ? 0 : unchangedExchanges + 1;
        changed = false;
    }

    /** The exchanges in turn since the one that told the last change; 0 also when a change is yet to be told. */
    int unchangedExchanges() {
        return changed ? 0 : unchangedExchanges;
    }

    /** One incarnation of another router. */
    record Origin(RouterName router, long incarnation) {}

    /** What one incarnation charged and gave back. */
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
