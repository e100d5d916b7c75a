package org.mangowall.platform;

import java.net.URI;
import java.time.Duration;

/**
 * The address of the platform and the timeouts of calls to it.
 *
 * @param endpoint the base URL, without a path
 * @param connectTimeout the maximum time to open a connection
 * @param requestTimeout the maximum time of a call, in addition to a watch's wait
 */
public record PlatformSettings(URI endpoint, Duration connectTimeout, Duration requestTimeout) {

    private static final Duration DEFAULT_CONNECT_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration DEFAULT_REQUEST_TIMEOUT = Duration.ofSeconds(2);

    /** Creates settings with the default timeouts. */
    public static PlatformSettings of(URI endpoint) {
        return new PlatformSettings(endpoint, DEFAULT_CONNECT_TIMEOUT, DEFAULT_REQUEST_TIMEOUT);
    }
}
