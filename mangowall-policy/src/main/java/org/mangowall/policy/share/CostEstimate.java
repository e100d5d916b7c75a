package org.mangowall.policy.share;

/** Moving average of request costs, combined with a prior estimate. */
final class CostEstimate {

    private static final double SMOOTHING_FACTOR = 0.05;
    private static final double PRIOR_SAMPLES = 3;
    private static final double DEFAULT_COST = 1;

    private double mean;
    private int samples;
    private double largest;

    void record(double cost) {
        samples++;
        double weight = Math.max(SMOOTHING_FACTOR, 1.0 / samples);
        mean += weight * (cost - mean);
        largest = Math.max(largest, cost);
    }

    /** The average, combined with the prior while there are few samples; a prior of 0 means none. */
    double value(double prior) {
        if (samples == 0) {
            return prior > 0 ? prior : DEFAULT_COST;
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
