package org.mangowall.standin.platform;

import java.time.Duration;

/**
 * Address, rate limits and delays of a platform stand-in.
 *
 * @param host the IP address to listen on
 * @param port the TCP port; 0 selects a free one
 * @param readsPerSecond the rate limit of reads, watches and host lists
 * @param writesPerSecond the rate limit of writes and host announcements
 * @param maximumObjectBytes the maximum size of an object
 * @param hostLag the delay after which an announcement appears in the host list
 * @param hostExpiry how long a host stays in the list after its last announcement
 */
public record PlatformStandInSettings(
        String host,
        int port,
        int readsPerSecond,
        int writesPerSecond,
        int maximumObjectBytes,
        Duration hostLag,
        Duration hostExpiry) {

    /** Returns settings with the limits of the current platform, on a free loopback port. */
    public static PlatformStandInSettings withDefaults() {
        return new PlatformStandInSettings(
                "127.0.0.1", 0, 2000, 400, 1024 * 1024, Duration.ofSeconds(2), Duration.ofSeconds(10));
    }
}
