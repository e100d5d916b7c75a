package org.mangowall.standin.http;

import java.io.IOException;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.MissingNode;
import org.mangowall.kernel.failure.FailureCode;
import org.mangowall.kernel.failure.MangowallException;

/** Serializes and parses the JSON documents of the stand-ins. */
public final class Json {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private Json() {}

    /** Serializes records, maps, lists, strings and numbers. */
    public static byte[] write(Object value) {
        try {
            return MAPPER.writeValueAsBytes(value);
        } catch (JsonProcessingException failure) {
            throw new MangowallException(FailureCode.INTERNAL, "a value has no JSON form", failure);
        }
    }

    /** Serializes a value as indented JSON. */
    public static byte[] writePretty(Object value) {
        try {
            return MAPPER.writerWithDefaultPrettyPrinter().writeValueAsBytes(value);
        } catch (JsonProcessingException failure) {
            throw new MangowallException(FailureCode.INTERNAL, "a value has no JSON form", failure);
        }
    }

    /**
     * Parses a document; returns a missing node for empty input.
     *
     * @throws MangowallException with {@link FailureCode#MALFORMED_REQUEST} when the input is not valid JSON
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
     * Parses a document into a record.
     *
     * @throws MangowallException with {@link FailureCode#MALFORMED_REQUEST} when the input doesn't match the type
     */
    public static <T> T read(byte[] bytes, Class<T> type) {
        try {
            return MAPPER.readValue(bytes, type);
        } catch (IOException failure) {
            throw new MangowallException(FailureCode.MALFORMED_REQUEST, failure.getMessage(), failure);
        }
    }
}
