package org.mangowall.policy.limit;

/**
 * Estimates from lagging reports how many requests of other homes run at a runner.
 *
 * <p>While another home may be at work there, at least half of the limit is left to it, until several reports in a row
 * show nothing but the own requests.
 */
final class ForeignLoad {

    private static final int REPORTS_OF_ABSENCE = 4;

    private int reported;
    private int estimate;
    private int mostOwn;
    private int leastOwn;
    private int reportsWithoutOthers;

    /** The own requests that run have changed, and what could be sent was sent. */
    void observe(int own) {
        mostOwn = Math.max(mostOwn, own);
        leastOwn = Math.min(leastOwn, own);
    }

    /** A report came; {@code own} requests of this home run now. */
    void report(int running, int own, boolean contested) {
        reported = running;
        estimate = Math.max(0, running - (contested ? leastOwn : mostOwn));
        reportsWithoutOthers = running <= mostOwn ? reportsWithoutOthers + 1 : 0;
        mostOwn = own;
        leastOwn = own;
    }

    /** Starts again, as nothing is known of other homes. */
    void forget() {
        reportsWithoutOthers = 0;
        leastOwn = 0;
        mostOwn = 0;
    }

    int reported() {
        return reported;
    }

    int estimate() {
        return estimate;
    }

    /** The own requests that may run under a limit. */
    int room(int limit, boolean contested) {
        int visible = limit - estimate;
        boolean shared = contested && reportsWithoutOthers < REPORTS_OF_ABSENCE;
        return shared ? Math.min(visible, Math.max(1, limit / 2)) : visible;
    }
}
