package org.mangowall.edge.decision;

/**
 * Predicts the time to a first token from the tokens that a runner must read before.
 *
 * <p>A weighted linear regression over recent requests of a service; a prior keeps it sensible while there are few.
 */
final class FirstTokenModel {

    private static final double FADE_PER_SAMPLE = 0.995;
    private static final double PRIOR_WEIGHT = 10;
    private static final double PRIOR_BASE_MILLIS = 40;
    /** The span of prompt lengths over which the prior holds, in tokens. */
    private static final double PRIOR_SPAN_TOKENS = 10_000;

    private static final double LEAST_MILLIS_PER_TOKEN = 0.002;
    private static final double MOST_MILLIS_PER_TOKEN = 0.2;
    private static final double MOST_BASE_MILLIS = 200;

    private final double priorMillisPerToken;
    private double weight;
    private double sumTokens;
    private double sumMillis;
    private double sumTokensSquared;
    private double sumProduct;

    FirstTokenModel(double priorMillisPerToken) {
        this.priorMillisPerToken = priorMillisPerToken;
        addWeighted(0, PRIOR_BASE_MILLIS, PRIOR_WEIGHT);
        addWeighted(PRIOR_SPAN_TOKENS, PRIOR_BASE_MILLIS + PRIOR_SPAN_TOKENS * priorMillisPerToken, PRIOR_WEIGHT);
    }

    /** Learns from a request that had to wait for so many tokens, its own included. */
    void record(double tokens, double millis) {
        double bounded = Math.min(millis, 4 * predictMillis(tokens) + MOST_BASE_MILLIS);
        weight *= FADE_PER_SAMPLE;
        sumTokens *= FADE_PER_SAMPLE;
        sumMillis *= FADE_PER_SAMPLE;
        sumTokensSquared *= FADE_PER_SAMPLE;
        sumProduct *= FADE_PER_SAMPLE;
        addWeighted(tokens, bounded, 1);
    }

    double millisPerToken() {
        double spread = weight * sumTokensSquared - sumTokens * sumTokens;
        double slope = spread <= 0 ? priorMillisPerToken : (weight * sumProduct - sumTokens * sumMillis) / spread;
        return Math.clamp(slope, LEAST_MILLIS_PER_TOKEN, MOST_MILLIS_PER_TOKEN);
    }

    double predictMillis(double tokens) {
        double slope = millisPerToken();
        double base = Math.clamp((sumMillis - slope * sumTokens) / weight, 1, MOST_BASE_MILLIS);
        return base + slope * tokens;
    }

    private void addWeighted(double tokens, double millis, double share) {
        weight += share;
        sumTokens += share * tokens;
        sumMillis += share * millis;
        sumTokensSquared += share * tokens * tokens;
        sumProduct += share * tokens * millis;
    }
}
