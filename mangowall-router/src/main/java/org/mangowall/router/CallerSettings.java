package org.mangowall.router;

import java.time.Duration;

/**
 * The bounds on the side of callers.
 *
 * @param maximumHeaderBytes the largest size of all header fields of a request
 * @param maximumBodyBytes the largest body of a request
 * @param maximumOpenRequests the requests that may be open at once
 * @param maximumBufferedBytes the bytes of all request bodies that may be held at once
 * @param idleTimeout how long a connection may be idle between requests
 * @param readTimeout how long a request may take to arrive
 * @param entryHostsKeepTime how long callers may keep the list of entry hosts
 * @param drainTimeout how long a graceful shutdown waits for open requests
 */
public record CallerSettings(
        int maximumHeaderBytes,
        int maximumBodyBytes,
        int maximumOpenRequests,
        long maximumBufferedBytes,
        Duration idleTimeout,
        Duration readTimeout,
        Duration entryHostsKeepTime,
        Duration drainTimeout) {

    /** The usual bounds. */
    public static final CallerSettings DEFAULTS = new CallerSettings(
            16 * 1024,
            1024 * 1024,
            4096,
            32L * 1024 * 1024,
            Duration.ofSeconds(75),
            Duration.ofSeconds(30),
            Duration.ofSeconds(5),
            Duration.ofMinutes(10));
}
