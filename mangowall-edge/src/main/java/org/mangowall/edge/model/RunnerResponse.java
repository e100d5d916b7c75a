package org.mangowall.edge.model;

import java.time.Duration;
import java.util.Optional;

/**
 * The decoded head of a runner's response.
 *
 * @param status the HTTP status
 * @param identifier identifier of the request that it responds to; empty when the runner doesn't state it
 * @param isSigned whether it carries the runner's signature header
 * @param isNotExecuted whether the runner states that it hasn't executed the request
 * @param isMisdirected whether a different runner uses the address now
 * @param coldLeft remaining time for which the runner is cold
 * @param rateLimit requests per second that the runner accepts from all hosts together; empty if it states no limit
 * @param retryAfter how long the runner asks this host to wait after a rejection; empty if it doesn't
 * @param idleTimeout how long the runner keeps an idle connection open
 * @param load the runner's load; empty if it doesn't state it
 * @param isLeaving whether the runner is about to end and should get no more requests
 * @param isConnectionClosing whether the runner closes the connection after this response
 */
public record RunnerResponse(
        int status,
        Optional<String> identifier,
        boolean isSigned,
        boolean isNotExecuted,
        boolean isMisdirected,
        Optional<Duration> coldLeft,
        Optional<Double> rateLimit,
        Optional<Duration> retryAfter,
        Optional<Duration> idleTimeout,
        Optional<StatedLoad> load,
        boolean isLeaving,
        boolean isConnectionClosing) {

    /** Whether the status is 2xx. */
    public boolean isSuccess() {
        return status >= 200 && status < 300;
    }
}
