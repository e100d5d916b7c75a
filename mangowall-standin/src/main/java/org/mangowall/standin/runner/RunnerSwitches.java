package org.mangowall.standin.runner;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * The failures that are switched on; changed by replacing the whole.
 *
 * @param lateAnswerMillis by how long each answer comes late
 * @param loseAnswers how many of the next answers are lost after the work was done
 * @param refuseRequests how many of the next requests are refused as not run
 */
public record RunnerSwitches(long lateAnswerMillis, int loseAnswers, int refuseRequests) {

    static RunnerSwitches allOff() {
        return new RunnerSwitches(0, 0, 0);
    }

    /** Takes over the fields that the document has. */
    RunnerSwitches with(JsonNode document) {
        return new RunnerSwitches(
                document.path("late_answer_millis").asLong(lateAnswerMillis),
                document.path("lose_answers").asInt(loseAnswers),
                document.path("refuse_requests").asInt(refuseRequests));
    }

    RunnerSwitches withOneLostAnswerLess() {
        return new RunnerSwitches(lateAnswerMillis, loseAnswers - 1, refuseRequests);
    }

    RunnerSwitches withOneRefusalLess() {
        return new RunnerSwitches(lateAnswerMillis, loseAnswers, refuseRequests - 1);
    }
}
