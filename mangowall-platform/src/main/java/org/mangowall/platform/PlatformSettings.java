package org.mangowall.platform;

import java.net.URI;
import java.time.Duration;

/**
 * How to reach the platform.
 *
 * @param endpoint the base of its HTTP address, without a path
 * @param connectTimeout how long opening a connection may take
 * @param requestTimeout how long a call may take, on top of the wait of a watch
 */
public record PlatformSettings(URI endpoint, Duration connectTimeout, Duration requestTimeout) {

    private static final Duration DEFAULT_CONNECT_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration DEFAULT_REQUEST_TIMEOUT = Duration.ofSeconds(2);

    /** Settings with the usual timeouts. */
    public static PlatformSettings of(URI endpoint) {
        return new PlatformSettings(endpoint, DEFAULT_CONNECT_TIMEOUT, DEFAULT_REQUEST_TIMEOUT);
    }
}
