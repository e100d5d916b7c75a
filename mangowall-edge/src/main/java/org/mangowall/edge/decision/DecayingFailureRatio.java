package org.mangowall.edge.decision;

/** A failure ratio in which outcomes are weighted by an exponential decay over time. */
final class DecayingFailureRatio {

    /** Successes assumed initially, so that a single failure doesn't dominate the ratio. */
    private static final double PRIOR_SUCCESSES = 4;

    private final double halfLifeNanos;
    private double failures;
    private double outcomes;
    private long updatedAt;

    /** Creates a ratio without outcomes. */
    DecayingFailureRatio(double halfLifeNanos) {
        this.halfLifeNanos = halfLifeNanos;
    }

    void record(boolean isFailure, long now) {
        decay(now);
        outcomes += 1;
        failures += isFailure ? 1 : 0;
    }

    /** Returns the ratio of failures to all outcomes, biased towards zero while there are few outcomes. */
    double failureRatio(long now) {
        decay(now);
        return failures / (outcomes + PRIOR_SUCCESSES);
    }

    private void decay(long now) {
        if (now <= updatedAt) {
            return;
        }
        double factor = Math.pow(0.5, (now - updatedAt) / halfLifeNanos);
        failures *= factor;
        outcomes *= factor;
        updatedAt = now;
    }
}
