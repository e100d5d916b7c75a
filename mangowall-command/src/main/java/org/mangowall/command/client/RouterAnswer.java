package org.mangowall.command.client;

import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import org.mangowall.command.output.Json;
import org.mangowall.inventory.checked.HostAndPort;
import org.mangowall.kernel.failure.FailureCode;
import org.mangowall.kernel.failure.MangowallException;

/**
 * What a router answered.
 *
 * @param router the router's operator address
 * @param status the HTTP status
 * @param version the version header, or 0 when there is none
 * @param body the body
 */
record RouterAnswer(HostAndPort router, int status, long version, byte[] body) {

    private static final int OK = 200;

    boolean isSuccess() {
        return status == OK;
    }

    /** The failure that the answer tells; only for answers that are no success. */
    MangowallException failure() {
        Optional<JsonNode> problem = problem();
        FailureCode code = problem.map(node -> node.path("code").asText())
                .flatMap(FailureCode::ofCode)
                .orElse(FailureCode.INTERNAL);
        String detail = problem.map(node -> node.path("detail").asText())
                .filter(text -> !text.isBlank())
                .orElse("status " + status);
        return new MangowallException(code, router + " says " + code.code() + ": " + detail);
    }

    private Optional<JsonNode> problem() {
        try {
            return Optional.of(Json.parse(body)).filter(JsonNode::isObject);
        } catch (MangowallException notJson) {
            return Optional.empty();
        }
    }
}
