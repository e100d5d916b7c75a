package org.mangowall.standin.engine;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;

import org.mangowall.standin.http.Json;

/** Writes chat-completions answers, whole and as server-sent events. */
final class ChatEvents {

    private static final byte[] DONE = "data: [DONE]\n\n".getBytes(StandardCharsets.UTF_8);

    private final ChatRequest request;
    private final int promptTokens;

    ChatEvents(ChatRequest request) {
        this.request = request;
        this.promptTokens = ModelAnswer.promptTokens(request.prompt());
    }

    Map<String, Object> whole(String text, int completionTokens) {
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
        return event(Map.of(
                "object", "chat.completion.chunk",
                "model", request.model(),
                "choices", List.of(Map.of("index", 0, "delta", Map.of("content", token)))));
    }

    byte[] usageEvent(int completionTokens) {
        return event(Map.of(
                "object", "chat.completion.chunk",
                "model", request.model(),
                "choices", List.of(),
                "usage", usage(completionTokens)));
    }

    static byte[] doneEvent() {
        return DONE;
    }

    private Map<String, Object> usage(int completionTokens) {
        return Map.of(
                "prompt_tokens", promptTokens,
                "completion_tokens", completionTokens,
                "total_tokens", promptTokens + completionTokens);
    }

    private static byte[] event(Map<String, Object> document) {
        String json = new String(Json.write(document), StandardCharsets.UTF_8);
        return ("data: " + json + "\n\n").getBytes(StandardCharsets.UTF_8);
    }
}
