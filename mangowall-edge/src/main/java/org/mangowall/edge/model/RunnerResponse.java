package org.mangowall.edge.model;

import java.time.Duration;
import java.util.Optional;

/**
 * The head of a runner's answer, decoded.
 *
 * @param status the HTTP status
 * @param identifier the request to which it belongs; empty when the runner doesn't say
 * @param isSigned whether it bears the runner's signature
 * @param isNotRun whether the runner says that it has not run the request
 * @param isOtherRunner whether another runner has the address now
 * @param coldLeft how much longer the runner is cold
 * @param idleTime how long the runner keeps an unused connection
 * @param isLastOfConnection whether the runner closes the connection after this answer
 */
public record RunnerResponse(
        int status,
        Optional<String> identifier,
        boolean isSigned,
        boolean isNotRun,
        boolean isOtherRunner,
        Optional<Duration> coldLeft,
        Optional<Duration> idleTime,
        boolean isLastOfConnection) {

    /** Whether the status tells success. */
    public boolean isSuccess() {
        return status >= 200 && status < 300;
    }
}
