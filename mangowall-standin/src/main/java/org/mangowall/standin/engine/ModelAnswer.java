package org.mangowall.standin.engine;

import java.util.ArrayList;
import java.util.List;

/** The answer of the model engine stand-in, which follows from the request so that callers can check it. */
public final class ModelAnswer {

    private ModelAnswer() {}

    /** The tokens of the answer: between one and the most allowed, the prompt's words over and over. */
    public static List<String> tokens(String prompt, int maximumTokens) {
        String[] words = prompt.strip().split("\\s+");
        int count = 1 + Math.floorMod(prompt.hashCode(), Math.max(1, maximumTokens));
        List<String> tokens = new ArrayList<>(count);
        for (int index = 0; index < count; index++) {
            tokens.add((index == 0 ? "" : " ") + words[index % words.length]);
        }
        return tokens;
    }

    /** The whole text of the answer. */
    public static String text(String prompt, int maximumTokens) {
        return String.join("", tokens(prompt, maximumTokens));
    }

    /** How many tokens the prompt has. */
    public static int promptTokens(String prompt) {
        return prompt.strip().split("\\s+").length;
    }
}
