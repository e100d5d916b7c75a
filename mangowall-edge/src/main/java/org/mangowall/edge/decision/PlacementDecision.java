package org.mangowall.edge.decision;

import java.util.Optional;

import org.mangowall.edge.model.RunnerEntry;
import org.mangowall.kernel.failure.FailureCode;

/** The runner chosen for a request, or the reason for rejecting it. */
public sealed interface PlacementDecision {

    /**
     * The request is sent to a runner.
     *
     * @param runner the chosen runner
     * @param cacheHolder a runner from which it fetches the key-value cache of a prefix of the prompt
     * @param prefillTokens how many prompt tokens it must process itself
     * @param waitedTokens tokens that it processes before the first output token, including requests ahead
     * @param predictedMillis predicted time to the first part of the response
     * @param isReadApart whether the run should move on from the runner when it has read the prompt
     * @param pace how long work is estimated to take on the runner's machine, relative to the usual time
     * @param admission why the request is admitted
     */
    record Send(
            RunnerEntry runner,
            Optional<RunnerEntry> cacheHolder,
            int prefillTokens,
            long waitedTokens,
            double predictedMillis,
            boolean isReadApart,
            double pace,
            Admission admission)
            implements PlacementDecision {

        /** The rest of a run that goes on with a copy of its memory. */
        public static Send ofRest(RunnerEntry runner) {
            return new Send(runner, Optional.empty(), 0, 0, 0, false, 1, Admission.NONE);
        }
    }

    /**
     * The request is rejected without having run.
     *
     * @param code the reason
     * @param retryAfterMillis time after which a retry is likely to be served
     * @param predictedMillis predicted time to the first part of the response; 0 when there is no runner
     * @param admission why the request isn't admitted
     */
    record Reject(FailureCode code, double retryAfterMillis, double predictedMillis, Admission admission)
            implements PlacementDecision {

        /** Whether the request, or a part of its prompt, is rejected because it crashes runners. */
        public boolean isQuarantine() {
            return code == FailureCode.PROMPT_PART_QUARANTINED || code == FailureCode.REQUEST_QUARANTINED;
        }
    }
}
