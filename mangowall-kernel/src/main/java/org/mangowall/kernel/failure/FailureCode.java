package org.mangowall.kernel.failure;

import java.util.Arrays;
import java.util.Optional;

import static org.mangowall.kernel.failure.RequestOutcome.NOT_RUN;
import static org.mangowall.kernel.failure.RequestOutcome.UNKNOWN;

/**
 * The failure codes of routers and tools.
 *
 * <p>Codes are part of the public API: a published code never changes its meaning. The HTTP status and the outcome are
 * those that a caller receives when the failure ends a request.
 */
public enum FailureCode {
    /** A name does not match the syntax of names. */
    INVALID_NAME("invalid-name", 400, NOT_RUN),
    /** The HTTP request or its body can't be read. */
    MALFORMED_REQUEST("malformed-request", 400, NOT_RUN),
    /** The header that names the workspace is missing. */
    WORKSPACE_MISSING("workspace-missing", 400, NOT_RUN),
    /** The inventory has no such workspace. */
    WORKSPACE_UNKNOWN("workspace-unknown", 403, NOT_RUN),
    /** The caller or operator sent no valid credentials. */
    NOT_AUTHENTICATED("not-authenticated", 401, NOT_RUN),
    /** The inventory has no such service. */
    SERVICE_UNKNOWN("service-unknown", 404, NOT_RUN),
    /** The router has no endpoint with this path. */
    PATH_UNKNOWN("path-unknown", 404, NOT_RUN),
    /** The body is larger than the router accepts. */
    BODY_TOO_LARGE("body-too-large", 413, NOT_RUN),
    /** The headers are larger than the router accepts. */
    HEADERS_TOO_LARGE("headers-too-large", 431, NOT_RUN),
    /** The request was not received completely in time. */
    REQUEST_READ_TIMEOUT("request-read-timeout", 408, NOT_RUN),
    /** The workspace uses more than its share while all runners are busy. */
    WORKSPACE_OVER_SHARE("workspace-over-share", 429, NOT_RUN),
    /** No runner is expected to answer in time. */
    RUNNERS_BUSY("runners-busy", 503, NOT_RUN),
    /** The workspace has reached its limit of queued requests. */
    WORKSPACE_QUEUE_FULL("workspace-queue-full", 429, NOT_RUN),
    /** An internal queue of the router is full. */
    ROUTER_BUSY("router-busy", 503, NOT_RUN),
    /** Requests that have arrived wait too long for the host's own processor. */
    HOST_BUSY("host-busy", 503, NOT_RUN),
    /** The host has no memory left for the body of the request. */
    HOST_FULL("host-full", 503, NOT_RUN),
    /** The router has no configuration yet. */
    NOT_READY("not-ready", 503, NOT_RUN),
    /** The router is shutting down and accepts no new requests. */
    ROUTER_LEAVING("router-leaving", 503, NOT_RUN),
    /** No runner of the service accepts requests. */
    NO_RUNNER("no-runner", 503, NOT_RUN),
    /** No runner accepts requests that has the software version at which the stream to be resumed began. */
    STREAM_VERSION_UNAVAILABLE("stream-version-unavailable", 503, NOT_RUN),
    /** A part of the prompt has crashed several runners, so that requests with it are not sent to further ones. */
    PROMPT_PART_QUARANTINED("prompt-part-quarantined", 503, NOT_RUN),
    /** The request has crashed several runners, so that its repeats are not sent to further ones. */
    REQUEST_QUARANTINED("request-quarantined", 503, NOT_RUN),
    /** The request reached its queue timeout and was not sent. */
    QUEUE_TIMEOUT("queue-timeout", 503, NOT_RUN),
    /** All attempts failed, and it is certain that none of them ran. */
    RETRIES_EXHAUSTED("retries-exhausted", 503, NOT_RUN),
    /** The connection to the runner was lost after sending had begun. */
    RUNNER_CONNECTION_LOST("runner-connection-lost", 502, UNKNOWN),
    /** The runner made no progress in time. */
    RUNNER_TIMEOUT("runner-timeout", 504, UNKNOWN),
    /** The runner's response violates the protocol. */
    RUNNER_ANSWER_INVALID("runner-answer-invalid", 502, UNKNOWN),
    /** The home router of the request was lost. */
    HOME_LOST("home-lost", 502, UNKNOWN),
    /** The caller disconnected before the response ended. */
    CALLER_GONE("caller-gone", 499, UNKNOWN),
    /** The idempotency key can't be claimed because the platform does not respond. */
    CLAIM_UNAVAILABLE("claim-unavailable", 503, NOT_RUN),
    /** A request with the same idempotency key is in progress. */
    CLAIM_IN_PROGRESS("claim-in-progress", 409, UNKNOWN),
    /** A request with the same idempotency key was sent and its outcome is not known. */
    CLAIM_OUTCOME_UNKNOWN("claim-outcome-unknown", 409, UNKNOWN),
    /** The idempotency key was used for another request. */
    CLAIM_MISMATCH("claim-mismatch", 422, NOT_RUN),
    /** A frame between routers can't be read. */
    FRAME_INVALID("frame-invalid", 400, NOT_RUN),
    /** The settings file is invalid. */
    SETTINGS_INVALID("settings-invalid", 400, NOT_RUN),
    /** The inventory is invalid. */
    INVENTORY_INVALID("inventory-invalid", 400, NOT_RUN),
    /** The platform does not respond. */
    PLATFORM_UNAVAILABLE("platform-unavailable", 503, NOT_RUN),
    /** The platform refused the call because of its rate limit. */
    PLATFORM_RATE_LIMITED("platform-rate-limited", 503, NOT_RUN),
    /** The object's version is not the expected one. */
    PLATFORM_CONFLICT("platform-conflict", 409, NOT_RUN),
    /** The platform has no such object. */
    PLATFORM_OBJECT_MISSING("platform-object-missing", 404, NOT_RUN),
    /** The object is larger than the platform accepts. */
    PLATFORM_OBJECT_TOO_LARGE("platform-object-too-large", 413, NOT_RUN),
    /** The platform's response was lost, so it is not known whether a write took effect. */
    PLATFORM_ANSWER_LOST("platform-answer-lost", 503, UNKNOWN),
    /** No plug-in has the name. */
    PLUGIN_UNKNOWN("plugin-unknown", 400, NOT_RUN),
    /** An address can't be bound. */
    ADDRESS_UNUSABLE("address-unusable", 500, NOT_RUN),
    /** None of the routers that an operator named can be reached. */
    ROUTERS_UNREACHABLE("routers-unreachable", 503, NOT_RUN),
    /** The command line is invalid. */
    USAGE("usage", 400, NOT_RUN),
    /** An internal error. */
    INTERNAL("internal", 500, UNKNOWN);

    private final String code;
    private final int httpStatus;
    private final RequestOutcome outcome;

    FailureCode(String code, int httpStatus, RequestOutcome outcome) {
        this.code = code;
        this.httpStatus = httpStatus;
        this.outcome = outcome;
    }

    /** Finds a failure code by its text. */
    public static Optional<FailureCode> ofCode(String code) {
        return Arrays.stream(values()).filter(value -> value.code.equals(code)).findFirst();
    }

    /** The text of the code, in lower case with dashes. */
    public String code() {
        return code;
    }

    /** The HTTP status of a response with this code. */
    public int httpStatus() {
        return httpStatus;
    }

    /** What is known about side effects of the request. */
    public RequestOutcome outcome() {
        return outcome;
    }
}
