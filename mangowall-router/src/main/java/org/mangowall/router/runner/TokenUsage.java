package org.mangowall.router.runner;

import com.fasterxml.jackson.databind.JsonNode;
import org.mangowall.inventory.Service;

/**
 * The token usage that an answer reports.
 *
 * @param promptTokens the number of tokens of the prompt
 * @param outputTokens the number of tokens of the answer
 */
record TokenUsage(long promptTokens, long outputTokens) {

    static final TokenUsage NONE = new TokenUsage(0, 0);

    /** Reads the usage object of a chat completion; returns {@link #NONE} for anything else. */
    static TokenUsage of(JsonNode usage) {
        if (usage == null || !usage.isObject()) {
            return NONE;
        }
        long prompt = Math.max(0, usage.path("prompt_tokens").asLong(0));
        long output = Math.max(0, usage.path("completion_tokens").asLong(0));
        return new TokenUsage(prompt, output);
    }

    double cost(Service service) {
        return promptTokens * service.promptTokenCost() + outputTokens * service.outputTokenCost();
    }
}
