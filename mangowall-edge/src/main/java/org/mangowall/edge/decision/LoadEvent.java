package org.mangowall.edge.decision;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import org.mangowall.edge.model.PromptPart;
import org.mangowall.edge.model.StatedLoad;

/** An event about a host's requests to runners, sent to all other hosts. */
public sealed interface LoadEvent {

    /**
     * A request was sent to a runner.
     *
     * @param number sequence number of the request on its host
     * @param runner the identifier of the runner
     * @param workspace the workspace of the request; empty on routes that need no API key
     * @param parts the parts of the prompt
     * @param prefillTokens how many prompt tokens the runner is expected to process, because they aren't cached
     * @param memoryTokens key-value cache that the request occupies when its response is complete, in tokens
     * @param costTokens engine time of the request, in tokens; 0 for a plain request
     * @param stream where the stream began that goes on with this request; empty for other requests
     */
    record Sent(
            long number,
            String runner,
            Optional<String> workspace,
            List<PromptPart> parts,
            int prefillTokens,
            int memoryTokens,
            long costTokens,
            Optional<StreamOrigin> stream)
            implements LoadEvent {

        /** Copies the list. */
        public Sent {
            parts = List.copyOf(parts);
        }
    }

    /**
     * The first part of the response arrived, so the runner has processed the prompt.
     *
     * @param number the sequence number of the request
     */
    record ResponseStarted(long number) implements LoadEvent {}

    /**
     * The runner finished the request, was lost or was told to cancel it.
     *
     * @param number the sequence number of the request
     * @param outcome how the run ended
     * @param fingerprint the fingerprint of the request if it was lost, or complete while there were suspects
     */
    record Ended(long number, RunOutcome outcome, OptionalLong fingerprint) implements LoadEvent {}

    /**
     * Requests of a workspace were turned away because the fleet is busy.
     *
     * @param workspace the workspace
     * @param costTokens their engine time, in tokens
     */
    record TurnedAway(String workspace, long costTokens) implements LoadEvent {}

    /**
     * A request or a prompt part crashes runners and is in quarantine, or isn't any more.
     *
     * @param suspect what is in quarantine
     * @param remainingNanos how much longer it is in quarantine; 0 if a complete run has ended the quarantine
     */
    record Quarantined(CrashSuspect suspect, long remainingNanos) implements LoadEvent {}

    /**
     * A runner stated in a response how many requests it accepts.
     *
     * @param runner the identifier of the runner
     * @param requestsPerSecond the limit for all hosts together; empty if it states none any more
     * @param ageNanos how long ago it stated that
     */
    record RateLimitStated(String runner, Optional<Double> requestsPerSecond, long ageNanos) implements LoadEvent {}

    /**
     * A runner stated its load in a response.
     *
     * @param runner the identifier of the runner
     * @param load what it stated
     */
    record LoadStated(String runner, StatedLoad load) implements LoadEvent {}

    /**
     * A runner said in a response that it leaves.
     *
     * @param runner the identifier of the runner
     */
    record RunnerLeaving(String runner) implements LoadEvent {}

    /**
     * A runner couldn't be reached.
     *
     * @param runner the identifier of the runner
     */
    record Unreachable(String runner) implements LoadEvent {}

    /**
     * The first part of a stream that its caller may take up was forwarded.
     *
     * @param origin where the stream began
     */
    record StreamBegan(StreamOrigin origin) implements LoadEvent {}

    /**
     * Prompt parts that a runner is estimated to cache.
     *
     * @param runner the identifier of the runner
     * @param parts the parts, the least recently used one first
     */
    record PartsCached(String runner, List<PromptPart> parts) implements LoadEvent {

        /** Copies the list. */
        public PartsCached {
            parts = List.copyOf(parts);
        }
    }
}
