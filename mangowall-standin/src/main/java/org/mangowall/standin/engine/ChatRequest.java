package org.mangowall.standin.engine;

import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import org.mangowall.kernel.failure.FailureCode;
import org.mangowall.kernel.failure.MangowallException;
import org.mangowall.standin.http.Json;

/**
 * What the engine needs of a chat-completions request.
 *
 * @param model the model's name
 * @param prompt the contents of all messages, one after another
 * @param maximumTokens the most tokens of the answer
 * @param stream whether the answer comes as events
 * @param resumeAfterTokens how many tokens of a stream the caller has already; they are left out
 */
record ChatRequest(String model, String prompt, int maximumTokens, boolean stream, int resumeAfterTokens) {

    private static final int DEFAULT_MAXIMUM_TOKENS = 32;

    static ChatRequest parse(byte[] body) {
        JsonNode document = Json.read(body);
        JsonNode messages = document.path("messages");
        if (!messages.isArray() || messages.isEmpty()) {
            throw new MangowallException(FailureCode.MALFORMED_REQUEST, "messages are missing");
        }
        StringBuilder prompt = new StringBuilder();
        for (JsonNode message : messages) {
            prompt.append(message.path("content").asText()).append(' ');
        }
        return new ChatRequest(
                document.path("model").asText(),
                prompt.toString().strip(),
                document.path("max_tokens").asInt(DEFAULT_MAXIMUM_TOKENS),
                document.path("stream").asBoolean(false),
                0);
    }

    /** The same request as a header asks to resume it; without one, from the beginning. */
    ChatRequest resumedAfter(Optional<String> header) {
        if (header.isEmpty()) {
            return this;
        }
        return new ChatRequest(model, prompt, maximumTokens, stream, parseTokens(header.get()));
    }

    private static int parseTokens(String text) {
        try {
            return Integer.parseUnsignedInt(text);
        } catch (NumberFormatException failure) {
            throw new MangowallException(
                    FailureCode.MALFORMED_REQUEST, "the tokens to resume after must be a whole number");
        }
    }
}
