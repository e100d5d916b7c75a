package org.mangowall.edge.model;

import java.time.Duration;

/**
 * Limits on the requests and connections of callers.
 *
 * @param headerBytes the largest request head, in bytes
 * @param bodyBytes the largest request body, in bytes
 * @param readTimeout how long a request may take to arrive completely
 * @param idleTimeout how long an unused connection stays open
 */
public record CallerLimits(int headerBytes, int bodyBytes, Duration readTimeout, Duration idleTimeout) {

    /** The limits until a configuration is loaded. */
    public static final CallerLimits DEFAULT =
            new CallerLimits(16_384, 4_194_304, Duration.ofSeconds(3), Duration.ofSeconds(15));
}
