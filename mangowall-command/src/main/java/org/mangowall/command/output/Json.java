package org.mangowall.command.output;

import java.io.IOException;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.mangowall.kernel.failure.FailureCode;
import org.mangowall.kernel.failure.MangowallException;

/** Creates, parses and formats JSON trees. */
public final class Json {

    private static final ObjectMapper MAPPER = JsonMapper.builder().build();

    private Json() {}

    /** Creates an empty object. */
    public static ObjectNode object() {
        return MAPPER.createObjectNode();
    }

    /**
     * Parses a document.
     *
     * @throws MangowallException when the content is not JSON
     */
    public static JsonNode parse(byte[] content) {
        try {
            return MAPPER.readTree(content);
        } catch (IOException failure) {
            throw new MangowallException(FailureCode.MALFORMED_REQUEST, "the answer is not JSON", failure);
        }
    }

    /** Formats the document with line breaks and indentation. */
    public static String prettyPrint(JsonNode document) {
        try {
            return MAPPER.writerWithDefaultPrettyPrinter().writeValueAsString(document);
        } catch (JsonProcessingException failure) {
            throw new MangowallException(FailureCode.INTERNAL, "a report can't be written as JSON", failure);
        }
    }
}
