package org.mangowall.standin.engine;

import java.util.ArrayList;
import java.util.List;

/** Derives the completion of the model engine stand-in from the request, so that callers can verify it. */
public final class DeterministicCompletion {

    private DeterministicCompletion() {}

    /** Returns between one and {@code maximumTokens} tokens, which repeat the words of the prompt. */
    public static List<String> tokens(String prompt, int maximumTokens) {
        String[] words = prompt.strip().split("\\s+");
        int count = 1 + Math.floorMod(prompt.hashCode(), Math.max(1, maximumTokens));
        List<String> tokens = new ArrayList<>(count);
        for (int index = 0; index < count; index++) {
            tokens.add((index == 0 ? "" : " ") + words[index % words.length]);
        }
        return tokens;
    }

    /** Returns the text of the completion. */
    public static String text(String prompt, int maximumTokens) {
        return String.join("", tokens(prompt, maximumTokens));
    }

    /** Returns the number of prompt tokens, one per word. */
    public static int promptTokenCount(String prompt) {
        return prompt.strip().split("\\s+").length;
    }
}
