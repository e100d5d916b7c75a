package org.mangowall.protocol.operator;

import java.io.IOException;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.json.JsonMapper;
import org.mangowall.kernel.failure.FailureCode;
import org.mangowall.kernel.failure.MangowallException;

/**
 * Converts operator documents to and from JSON; unknown keys are ignored, so that the versions of both sides may
 * differ.
 */
final class OperatorJson {

    private static final ObjectMapper MAPPER = JsonMapper.builder()
            .propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .build();

    private OperatorJson() {}

    static byte[] write(Object document) {
        try {
            return MAPPER.writeValueAsBytes(document);
        } catch (JsonProcessingException failure) {
            throw new MangowallException(FailureCode.INTERNAL, "a document can't be written as JSON", failure);
        }
    }

    static <T> T read(byte[] content, Class<T> type) {
        try {
            return MAPPER.readValue(content, type);
        } catch (IOException failure) {
            throw new MangowallException(
                    FailureCode.MALFORMED_REQUEST,
                    "the content is not a valid " + type.getSimpleName() + " in JSON",
                    failure);
        }
    }
}
