package org.mangowall.router.caller;

import java.time.Duration;
import java.util.Optional;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.mangowall.kernel.failure.FailureCode;
import org.mangowall.kernel.failure.MangowallException;

/**
 * A problem document of RFC 9457 that describes a failure to a caller.
 *
 * @param code the code of the failure, which also gives the HTTP status and the outcome
 * @param detail a human-readable explanation
 * @param retryAfter the delay before a retry makes sense; zero when there is no advice
 * @param request the request's identifier, if one was assigned
 */
public record Problem(FailureCode code, String detail, Duration retryAfter, Optional<String> request) {

    /** The media type of {@link #toJson()}. */
    public static final String MEDIA_TYPE = "application/problem+json";

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String TYPE_PREFIX = "urn:mangowall:failure:";

    /** Creates a problem without a retry delay and a request identifier. */
    public static Problem of(FailureCode code, String detail) {
        return new Problem(code, detail, Duration.ZERO, Optional.empty());
    }

    /** Returns the JSON document. */
    public byte[] toJson() {
        ObjectNode node = MAPPER.createObjectNode();
        node.put("type", TYPE_PREFIX + code.code());
        node.put("title", code.code().replace('-', ' '));
        node.put("status", code.httpStatus());
        node.put("code", code.code());
        node.put("detail", detail);
        node.put("outcome", code.outcome().text());
        request.ifPresent(identifier -> node.put("request", identifier));
        try {
            return MAPPER.writeValueAsBytes(node);
        } catch (JsonProcessingException failure) {
            throw new MangowallException(FailureCode.INTERNAL, "a problem can't be written", failure);
        }
    }

    /** Returns the value of {@code Retry-After} in seconds, rounded up; 0 when there is no advice. */
    public long retryAfterSeconds() {
        return retryAfter.plusMillis(999).toSeconds();
    }
}
