package org.mangowall.edge.model;

import java.util.List;

/**
 * What a caller tells of a prompt.
 *
 * @param promptTokens the length of the prompt
 * @param outputTokens the estimated length of the answer
 * @param parts the parts of the prompt in order
 */
public record PromptDescription(int promptTokens, int outputTokens, List<PromptPart> parts) {

    /** Copies the list. */
    public PromptDescription {
        parts = List.copyOf(parts);
    }

    /** The engine time that the request asks for, in tokens; a generated token counts twice. */
    public long costTokens() {
        return promptTokens + 2L * outputTokens;
    }
}
