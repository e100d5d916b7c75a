package org.mangowall.edge.model;

import java.util.List;

/**
 * A caller's description of a prompt.
 *
 * @param promptTokens length of the prompt
 * @param outputTokens estimated length of the output
 * @param parts the parts of the prompt in order
 */
public record PromptDescription(int promptTokens, int outputTokens, List<PromptPart> parts) {

    /** Copies the list. */
    public PromptDescription {
        parts = List.copyOf(parts);
    }

    /** Returns the estimated engine time of the request, in tokens; a generated token counts twice. */
    public long costTokens() {
        return promptTokens + 2L * outputTokens;
    }

    /** Returns the key-value cache that the request occupies when its response is complete, in tokens. */
    public int memoryTokens() {
        return promptTokens + outputTokens;
    }
}
