package org.mangowall.edge.decision;

import java.util.Optional;

/**
 * A runner that may take a request.
 *
 * @param runner the runner
 * @param holder a runner that keeps more of the prompt
 * @param unreadTokens what it has to read of the prompt
 * @param waitedTokens what it reads until the request's first token
 * @param predictedMillis when the first part of the answer is expected
 * @param urgentScore what sending there costs when time is short
 * @param score what sending there costs, in milliseconds of a caller's time; the lowest is best
 */
record Candidate(
        RunnerState runner,
        Optional<RunnerState> holder,
        int unreadTokens,
        long waitedTokens,
        double predictedMillis,
        double urgentScore,
        double score) {}
