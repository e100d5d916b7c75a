package org.mangowall.policy.limit;

/**
 * Estimates from delayed load reports how many requests of other homes a runner runs.
 *
 * <p>While another home may send to the runner, at least half of the limit is left to it, until several consecutive
 * reports show only this home's own requests.
 */
final class OtherHomesLoad {

    private static final int REPORTS_TO_RULE_OUT_OTHERS = 4;

    private int reported;
    private int estimate;
    private int maxOwn;
    private int minOwn;
    private int reportsWithoutOthers;

    /** Records a changed number of own running requests. */
    void recordOwn(int own) {
        maxOwn = Math.max(maxOwn, own);
        minOwn = Math.min(minOwn, own);
    }

    /** Applies a load report; {@code own} requests of this home run now. */
    void applyReport(int running, int own, boolean mayBeShared) {
        reported = running;
        estimate = Math.max(0, running - (mayBeShared ? minOwn : maxOwn));
        reportsWithoutOthers = running <= maxOwn ? reportsWithoutOthers + 1 : 0;
        maxOwn = own;
        minOwn = own;
    }

    /** Resets what is known of other homes. */
    void reset() {
        reportsWithoutOthers = 0;
        minOwn = 0;
        maxOwn = 0;
    }

    int reported() {
        return reported;
    }

    int estimate() {
        return estimate;
    }

    /** The number of own requests that may run under a limit. */
    int allowedOwn(int limit, boolean mayBeShared) {
        int unusedByOthers = limit - estimate;
        boolean reservesHalf = mayBeShared && reportsWithoutOthers < REPORTS_TO_RULE_OUT_OTHERS;
        return reservesHalf ? Math.min(unusedByOthers, Math.max(1, limit / 2)) : unusedByOthers;
    }
}
