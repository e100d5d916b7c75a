package org.mangowall.router.caller;

import java.io.IOException;

import com.dynatrace.hash4j.hashing.Hashing;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import org.mangowall.kernel.failure.FailureCode;
import org.mangowall.kernel.failure.MangowallException;

/**
 * The fields of a chat completion request that the router uses for routing.
 *
 * @param model the name of the service
 * @param prefixHash a hash of the first message's text, 0 when there is none
 */
record ChatRequest(String model, long prefixHash) {

    private static final JsonFactory FACTORY = new JsonFactory();
    private static final int MAXIMUM_PREFIX_CHARACTERS = 2048;

    /**
     * Parses the whole body, so that no malformed JSON reaches a runner.
     *
     * @throws MangowallException with {@link FailureCode#MALFORMED_REQUEST}
     */
    static ChatRequest read(byte[] body) {
        try (JsonParser parser = FACTORY.createParser(body)) {
            ChatRequest request = read(parser);
            if (parser.nextToken() != null) {
                throw malformed("the body has something after the JSON object", null);
            }
            return request;
        } catch (IOException failure) {
            throw malformed("the body is not JSON", failure);
        }
    }

    private static ChatRequest read(JsonParser parser) throws IOException {
        if (parser.nextToken() != JsonToken.START_OBJECT) {
            throw malformed("the body must be a JSON object", null);
        }
        String model = null;
        long prefixHash = 0;
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String field = parser.currentName();
            JsonToken value = parser.nextToken();
            if (field.equals("model") && value == JsonToken.VALUE_STRING) {
                model = parser.getText();
            } else if (field.equals("messages") && value == JsonToken.START_ARRAY) {
                prefixHash = hashFirstMessage(parser);
            } else {
                parser.skipChildren();
            }
        }
        if (model == null) {
            throw malformed("the body must have a model", null);
        }
        return new ChatRequest(model, prefixHash);
    }

    private static long hashFirstMessage(JsonParser parser) throws IOException {
        StringBuilder prefix = new StringBuilder();
        int depth = 1;
        while (depth > 0) {
            JsonToken token = parser.nextToken();
            if (token.isStructStart()) {
                depth++;
            } else if (token.isStructEnd()) {
                depth--;
            } else if (token == JsonToken.VALUE_STRING && prefix.length() < MAXIMUM_PREFIX_CHARACTERS) {
                String text = parser.getText();
                prefix.append(text, 0, Math.min(text.length(), MAXIMUM_PREFIX_CHARACTERS));
            }
            if (depth == 1 && prefix.length() > 0) {
                return hashAndSkipRest(parser, prefix);
            }
        }
        return 0;
    }

    private static long hashAndSkipRest(JsonParser parser, StringBuilder prefix) throws IOException {
        JsonToken token = parser.nextToken();
        while (token != JsonToken.END_ARRAY) {
            parser.skipChildren();
            token = parser.nextToken();
        }
        return Hashing.komihash5_0().hashCharsToLong(prefix);
    }

    private static MangowallException malformed(String detail, Throwable cause) {
        return new MangowallException(FailureCode.MALFORMED_REQUEST, detail, cause);
    }
}
