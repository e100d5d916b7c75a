package org.mangowall.edge.model;

import java.time.Duration;

/**
 * What callers may send, and how long they may take.
 *
 * @param headerBytes the largest head of a request
 * @param bodyBytes the largest body
 * @param readTime how long a request may take to arrive
 * @param idleTime how long an unused connection stays open
 */
public record CallerLimits(int headerBytes, int bodyBytes, Duration readTime, Duration idleTime) {

    /** The limits before any configuration is known. */
    public static final CallerLimits DEFAULT =
            new CallerLimits(16_384, 4_194_304, Duration.ofSeconds(3), Duration.ofSeconds(15));
}
