package org.mangowall.policy.share;

/** A moving average of costs with a weak prior. */
final class CostEstimate {

    private static final double SMOOTHING = 0.05;
    private static final double PRIOR_SAMPLES = 3;
    private static final double UNKNOWN_COST = 1;

    private double mean;
    private int samples;
    private double largest;

    void record(double cost) {
        samples++;
        double weight = Math.max(SMOOTHING, 1.0 / samples);
        mean += weight * (cost - mean);
        largest = Math.max(largest, cost);
    }

    /** The average, or the prior as long as there are few samples; a prior of 0 is none. */
    double value(double prior) {
        if (samples == 0) {
            return prior > 0 ? prior : UNKNOWN_COST;
        }
        if (prior <= 0) {
            return mean;
        }
        return (prior * PRIOR_SAMPLES + mean * samples) / (PRIOR_SAMPLES + samples);
    }

    double mean() {
        return mean;
    }

    double largest() {
        return largest;
    }
}
