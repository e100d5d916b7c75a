package org.mangowall.standin.http;

import java.io.IOException;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.MissingNode;
import org.mangowall.kernel.failure.FailureCode;
import org.mangowall.kernel.failure.MangowallException;

/** Reads and writes the JSON of the stand-ins. */
public final class Json {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private Json() {}

    /** Writes records, maps, lists, texts and numbers. */
    public static byte[] write(Object value) {
        try {
            return MAPPER.writeValueAsBytes(value);
        } catch (JsonProcessingException failure) {
            throw new MangowallException(FailureCode.INTERNAL, "a value has no JSON form", failure);
        }
    }

    /** Writes a value over several lines for people. */
    public static byte[] writePretty(Object value) {
        try {
            return MAPPER.writerWithDefaultPrettyPrinter().writeValueAsBytes(value);
        } catch (JsonProcessingException failure) {
            throw new MangowallException(FailureCode.INTERNAL, "a value has no JSON form", failure);
        }
    }

    /**
     * Reads a document; a missing node when there are no bytes.
     *
     * @throws MangowallException with {@link FailureCode#MALFORMED_REQUEST} when it is no JSON
     */
    public static JsonNode read(byte[] bytes) {
        try {
            JsonNode node = MAPPER.readTree(bytes);
            return node == null ? MissingNode.getInstance() : node;
        } catch (IOException failure) {
            throw new MangowallException(FailureCode.MALFORMED_REQUEST, "the body is no JSON", failure);
        }
    }

    /**
     * Reads a record.
     *
     * @throws MangowallException with {@link FailureCode#MALFORMED_REQUEST} when the bytes have another shape
     */
    public static <T> T read(byte[] bytes, Class<T> type) {
        try {
            return MAPPER.readValue(bytes, type);
        } catch (IOException failure) {
            throw new MangowallException(FailureCode.MALFORMED_REQUEST, failure.getMessage(), failure);
        }
    }
}
