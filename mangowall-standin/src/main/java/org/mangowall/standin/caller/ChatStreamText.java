package org.mangowall.standin.caller;

import java.nio.charset.StandardCharsets;

import org.mangowall.standin.http.Json;

/** Extracts the text of a chat-completions stream. */
public final class ChatStreamText {

    private static final String DATA = "data: ";

    private ChatStreamText() {}

    /** Returns the concatenated text of all events. */
    public static String join(String events) {
        StringBuilder text = new StringBuilder();
        for (String event : events.split("\n\n")) {
            String data = event.startsWith(DATA) ? event.substring(DATA.length()) : "";
            if (data.startsWith("{")) {
                text.append(Json.read(data.getBytes(StandardCharsets.UTF_8))
                        .at("/choices/0/delta/content")
                        .asText());
            }
        }
        return text.toString();
    }
}
