package org.mangowall.command.client;

import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import org.mangowall.command.output.Json;
import org.mangowall.inventory.checked.HostAndPort;
import org.mangowall.kernel.failure.FailureCode;
import org.mangowall.kernel.failure.MangowallException;

/**
 * An HTTP response of a router's operator port.
 *
 * @param router the router's operator address
 * @param status the HTTP status code
 * @param version the version in the response header, or 0 when there is none
 * @param body the response body
 */
record RouterResponse(HostAndPort router, int status, long version, byte[] body) {

    private static final int OK = 200;

    boolean isSuccess() {
        return status == OK;
    }

    /** Returns the failure that an unsuccessful response describes. */
    MangowallException failure() {
        Optional<JsonNode> problemDocument = problemDocument();
        FailureCode code = problemDocument
                .map(node -> node.path("code").asText())
                .flatMap(FailureCode::ofCode)
                .orElse(FailureCode.INTERNAL);
        String detail = problemDocument
                .map(node -> node.path("detail").asText())
                .filter(text -> !text.isBlank())
                .orElse("status " + status);
        return new MangowallException(code, router + " says " + code.code() + ": " + detail);
    }

    private Optional<JsonNode> problemDocument() {
        try {
            return Optional.of(Json.parse(body)).filter(JsonNode::isObject);
        } catch (MangowallException invalidJson) {
            return Optional.empty();
        }
    }
}
