package org.mangowall.router;

import java.time.Duration;

/**
 * Limits and timeouts of caller connections.
 *
 * @param maximumHeaderBytes the largest size of all header fields of a request
 * @param maximumBodyBytes the largest body of a request
 * @param maximumOpenRequests the largest number of open requests
 * @param maximumBufferedBytes the largest total size of buffered request bodies
 * @param idleTimeout how long a connection may be idle between requests
 * @param readTimeout how long a request may take to arrive
 * @param entryHostsKeepTime how long callers may cache the list of entry hosts
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

    /** The default limits and timeouts. */
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
