package org.mangowall.edge.decision;

/**
 * Predicts the time to first token from the number of tokens that a runner must process before it.
 *
 * <p>A weighted linear regression over recent requests of a service; prior samples stabilise it while there are few.
 */
final class FirstTokenModel {

    private static final double DECAY_PER_SAMPLE = 0.995;
    private static final double PRIOR_WEIGHT = 10;
    private static final double PRIOR_BASE_MILLIS = 40;
    /** Prompt length of the second prior sample; the first has an empty prompt. */
    private static final double PRIOR_PROMPT_TOKENS = 10_000;

    private static final double MIN_MILLIS_PER_TOKEN = 0.002;
    private static final double MAX_MILLIS_PER_TOKEN = 0.2;
    private static final double MAX_BASE_MILLIS = 200;

    private final double priorMillisPerToken;
    private double weight;
    private double sumTokens;
    private double sumMillis;
    private double sumTokensSquared;
    private double sumProduct;

    FirstTokenModel(double priorMillisPerToken) {
        this.priorMillisPerToken = priorMillisPerToken;
        addWeighted(0, PRIOR_BASE_MILLIS, PRIOR_WEIGHT);
        addWeighted(PRIOR_PROMPT_TOKENS, PRIOR_BASE_MILLIS + PRIOR_PROMPT_TOKENS * priorMillisPerToken, PRIOR_WEIGHT);
    }

    /**
     * Adds a sample; outliers are cut off.
     *
     * @param tokens tokens processed before the first output token, including the request's own prompt
     * @param millis the measured time to first token
     */
    void record(double tokens, double millis) {
        double bounded = Math.min(millis, 4 * predictMillis(tokens) + MAX_BASE_MILLIS);
        weight *= DECAY_PER_SAMPLE;
        sumTokens *= DECAY_PER_SAMPLE;
        sumMillis *= DECAY_PER_SAMPLE;
        sumTokensSquared *= DECAY_PER_SAMPLE;
        sumProduct *= DECAY_PER_SAMPLE;
        addWeighted(tokens, bounded, 1);
    }

    double millisPerToken() {
        double denominator = weight * sumTokensSquared - sumTokens * sumTokens;
        double slope =
                denominator <= 0 ? priorMillisPerToken : (weight * sumProduct - sumTokens * sumMillis) / denominator;
        return Math.clamp(slope, MIN_MILLIS_PER_TOKEN, MAX_MILLIS_PER_TOKEN);
    }

    double predictMillis(double tokens) {
        double slope = millisPerToken();
        double base = Math.clamp((sumMillis - slope * sumTokens) / weight, 1, MAX_BASE_MILLIS);
        return base + slope * tokens;
    }

    private void addWeighted(double tokens, double millis, double sampleWeight) {
        weight += sampleWeight;
        sumTokens += sampleWeight * tokens;
        sumMillis += sampleWeight * millis;
        sumTokensSquared += sampleWeight * tokens * tokens;
        sumProduct += sampleWeight * tokens * millis;
    }
}
