package org.mangowall.standin.engine;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;

import org.mangowall.standin.http.Json;

/** Writes chat completions, either as one JSON document or as server-sent events. */
final class ChatCompletionWriter {

    private static final byte[] DONE_EVENT = "data: [DONE]\n\n".getBytes(StandardCharsets.UTF_8);

    private final ChatRequest request;
    private final int promptTokenCount;

    ChatCompletionWriter(ChatRequest request) {
        this.request = request;
        this.promptTokenCount = DeterministicCompletion.promptTokenCount(request.prompt());
    }

    Map<String, Object> completion(String text, int completionTokens) {
        return Map.of(
                "object", "chat.completion",
                "model", request.model(),
                "choices",
                        List.of(Map.of(
                                "index",
                                0,
                                "message",
                                Map.of("role", "assistant", "content", text),
                                "finish_reason",
                                "stop")),
                "usage", usage(completionTokens));
    }

    byte[] tokenEvent(String token) {
        return serverSentEvent(Map.of(
                "object", "chat.completion.chunk",
                "model", request.model(),
                "choices", List.of(Map.of("index", 0, "delta", Map.of("content", token)))));
    }

    byte[] usageEvent(int completionTokens) {
        return serverSentEvent(Map.of(
                "object", "chat.completion.chunk",
                "model", request.model(),
                "choices", List.of(),
                "usage", usage(completionTokens)));
    }

    static byte[] doneEvent() {
        return DONE_EVENT;
    }

    private Map<String, Object> usage(int completionTokens) {
        return Map.of(
                "prompt_tokens", promptTokenCount,
                "completion_tokens", completionTokens,
                "total_tokens", promptTokenCount + completionTokens);
    }

    private static byte[] serverSentEvent(Map<String, Object> document) {
        String json = new String(Json.write(document), StandardCharsets.UTF_8);
        return ("data: " + json + "\n\n").getBytes(StandardCharsets.UTF_8);
    }
}
