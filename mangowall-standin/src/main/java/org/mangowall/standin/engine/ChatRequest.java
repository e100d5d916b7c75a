package org.mangowall.standin.engine;

import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import org.mangowall.kernel.failure.FailureCode;
import org.mangowall.kernel.failure.MangowallException;
import org.mangowall.standin.http.Json;

/**
 * The fields of a chat-completions request that the engine uses.
 *
 * @param model the name of the model
 * @param prompt the contents of all messages, separated by blanks
 * @param maximumTokens the maximum number of completion tokens
 * @param stream whether the completion is streamed as server-sent events
 * @param resumeAfterTokens the number of tokens that the caller already has and the stream omits
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

    /** Returns a copy that resumes after the number of tokens in the header, if present. */
    ChatRequest withResumeHeader(Optional<String> header) {
        if (header.isEmpty()) {
            return this;
        }
        return new ChatRequest(model, prompt, maximumTokens, stream, parseTokenCount(header.get()));
    }

    private static int parseTokenCount(String text) {
        try {
            return Integer.parseUnsignedInt(text);
        } catch (NumberFormatException failure) {
            throw new MangowallException(
                    FailureCode.MALFORMED_REQUEST, "the tokens to resume after must be a whole number");
        }
    }
}
