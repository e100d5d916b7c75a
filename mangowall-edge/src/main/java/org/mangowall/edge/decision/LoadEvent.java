package org.mangowall.edge.decision;

import java.util.List;
import java.util.Optional;

import org.mangowall.edge.model.PromptPart;

/** What a host tells the others of the work that it gives to runners. */
public sealed interface LoadEvent {

    /**
     * A request was sent to a runner.
     *
     * @param number counts the requests of the host
     * @param runner the identifier of the runner
     * @param workspace whose request it is; empty on open routes
     * @param parts the parts of the prompt
     * @param unreadTokens how many tokens of the prompt the runner is expected to read
     * @param memoryTokens how much memory the request takes in the end
     * @param costTokens the engine time that it asks for; 0 for a plain request
     */
    record Sent(
            long number,
            String runner,
            Optional<String> workspace,
            List<PromptPart> parts,
            int unreadTokens,
            int memoryTokens,
            long costTokens)
            implements LoadEvent {

        /** Copies the list. */
        public Sent {
            parts = List.copyOf(parts);
        }
    }

    /**
     * The first part of the answer arrived, so the prompt has been read.
     *
     * @param number the number with which the request was sent
     */
    record AnswerBegun(long number) implements LoadEvent {}

    /**
     * The runner is done with the request, or was told to stop.
     *
     * @param number the number with which the request was sent
     */
    record Ended(long number) implements LoadEvent {}

    /**
     * A runner can't be reached.
     *
     * @param runner the identifier of the runner
     */
    record Unreachable(String runner) implements LoadEvent {}

    /**
     * A runner is believed to keep parts of prompts.
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
