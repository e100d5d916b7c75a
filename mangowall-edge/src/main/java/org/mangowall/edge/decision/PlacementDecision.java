package org.mangowall.edge.decision;

import java.util.Optional;

import org.mangowall.edge.model.RunnerEntry;
import org.mangowall.kernel.failure.FailureCode;

/** Where a request goes, or why it goes nowhere. */
public sealed interface PlacementDecision {

    /**
     * The request goes to a runner.
     *
     * @param runner the runner
     * @param cacheHolder a runner from which it fetches the key-value cache of a part of the prompt
     * @param unreadTokens how many tokens of the prompt it has to read
     * @param waitedTokens how many tokens it reads until the request's first token
     * @param predictedMillis when the first part of the answer is expected
     */
    record Send(
            RunnerEntry runner,
            Optional<RunnerEntry> cacheHolder,
            int unreadTokens,
            long waitedTokens,
            double predictedMillis)
            implements PlacementDecision {}

    /**
     * The request is turned away and has not run.
     *
     * @param code why
     * @param retryAfterMillis when it is likely to be served
     * @param predictedMillis when the first part of the answer would have come; 0 when there is no runner
     * @param shareLoad how the workspace stands against its share
     */
    record Refuse(FailureCode code, double retryAfterMillis, double predictedMillis, double shareLoad)
            implements PlacementDecision {}
}
