package org.mangowall.standin.runner;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * The injected faults of a runner; immutable, replaced on each change.
 *
 * @param responseDelayMillis the delay added to each response
 * @param responsesToDrop how many of the next responses are dropped after the work is done
 * @param requestsToRefuse how many of the next requests are refused without being executed
 */
public record RunnerFaults(long responseDelayMillis, int responsesToDrop, int requestsToRefuse) {

    static RunnerFaults none() {
        return new RunnerFaults(0, 0, 0);
    }

    /** Returns a copy updated with the fields that are present in the document. */
    RunnerFaults with(JsonNode document) {
        return new RunnerFaults(
                document.path("late_answer_millis").asLong(responseDelayMillis),
                document.path("lose_answers").asInt(responsesToDrop),
                document.path("refuse_requests").asInt(requestsToRefuse));
    }

    RunnerFaults withDroppedResponseConsumed() {
        return new RunnerFaults(responseDelayMillis, responsesToDrop - 1, requestsToRefuse);
    }

    RunnerFaults withRefusalConsumed() {
        return new RunnerFaults(responseDelayMillis, responsesToDrop, requestsToRefuse - 1);
    }
}
