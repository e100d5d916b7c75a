package org.mangowall.standin.engine;

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
 */
record ChatRequest(String model, String prompt, int maximumTokens, boolean stream) {

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
                document.path("stream").asBoolean(false));
    }
}
