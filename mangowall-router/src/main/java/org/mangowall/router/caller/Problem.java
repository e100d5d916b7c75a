package org.mangowall.router.caller;

import java.time.Duration;
import java.util.Optional;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.mangowall.kernel.failure.FailureCode;
import org.mangowall.kernel.failure.MangowallException;

/**
 * A failure as a caller sees it, in the shape of RFC 9457.
 *
 * @param code the failure
 * @param detail a sentence for people
 * @param retryAfter when a later try makes sense; zero when nothing is said
 * @param request the request's identifier, if it got one
 */
public record Problem(FailureCode code, String detail, Duration retryAfter, Optional<String> request) {

    /** The media type of {@link #toJson()}. */
    public static final String MEDIA_TYPE = "application/problem+json";

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String TYPE_PREFIX = "urn:mangowall:failure:";

    /** A problem without more to say than its code. */
    public static Problem of(FailureCode code, String detail) {
        return new Problem(code, detail, Duration.ZERO, Optional.empty());
    }

    /** The JSON document. */
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

    /** The whole seconds for {@code Retry-After}; 0 when nothing is said. */
    public long retryAfterSeconds() {
        return retryAfter.plusMillis(999).toSeconds();
    }
}
