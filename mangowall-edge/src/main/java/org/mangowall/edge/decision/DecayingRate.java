package org.mangowall.edge.decision;

/** A share of bad outcomes in which old outcomes fade with time. */
final class DecayingRate {

    /** So many good outcomes are assumed before the first: one failure alone says little. */
    private static final double PRIOR_OUTCOMES = 4;

    private final double halfLifeNanos;
    private double bad;
    private double all;
    private long updatedAt;

    /** Starts without outcomes. */
    DecayingRate(double halfLifeNanos) {
        this.halfLifeNanos = halfLifeNanos;
    }

    void record(boolean isBad, long now) {
        fade(now);
        all += 1;
        bad += isBad ? 1 : 0;
    }

    /** The share of bad outcomes; pulled to zero while there are few. */
    double share(long now) {
        fade(now);
        return bad / (all + PRIOR_OUTCOMES);
    }

    private void fade(long now) {
        if (now <= updatedAt) {
            return;
        }
        double factor = Math.pow(0.5, (now - updatedAt) / halfLifeNanos);
        bad *= factor;
        all *= factor;
        updatedAt = now;
    }
}
