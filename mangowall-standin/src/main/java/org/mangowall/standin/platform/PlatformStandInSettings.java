package org.mangowall.standin.platform;

import java.time.Duration;

/**
 * How a platform stand-in behaves.
 *
 * @param host the IP address on which it listens
 * @param port the TCP port; 0 takes a free one
 * @param readsPerSecond the rate of reads, watches and host lists
 * @param writesPerSecond the rate of writes and announcements
 * @param maximumObjectBytes the largest body of an object
 * @param hostLag how old the list of hosts is when it is shown
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

    /** The sizes of today's platform on a free loopback port. */
    public static PlatformStandInSettings withDefaults() {
        return new PlatformStandInSettings(
                "127.0.0.1", 0, 2000, 400, 1024 * 1024, Duration.ofSeconds(2), Duration.ofSeconds(10));
    }
}
