package org.mangowall.edge.decision;

import java.util.Optional;

/**
 * A runner that is eligible for a request, with its predicted latency and cost.
 *
 * @param runner the runner
 * @param cacheHolder a runner from which the key-value cache of a longer prefix is fetched; empty when nothing is
 * @param prefillTokens how many prompt tokens the runner must process itself
 * @param waitedTokens tokens that the runner processes before the first output token, including requests ahead
 * @param predictedMillis predicted time to the first part of the response
 * @param urgentScore the cost in milliseconds when no candidate meets the latency goal otherwise; the lowest is best
 * @param score the cost in milliseconds of caller time; the lowest is best
 */
record Candidate(
        RunnerState runner,
        Optional<RunnerState> cacheHolder,
        int prefillTokens,
        long waitedTokens,
        double predictedMillis,
        double urgentScore,
        double score) {}
