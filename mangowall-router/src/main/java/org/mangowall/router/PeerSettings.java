package org.mangowall.router;

import java.time.Duration;

/**
 * The timing of connections between routers.
 *
 * @param connectTimeout how long opening a connection may take, its first messages included
 * @param heartbeatPeriod how long a connection with open requests may be silent before it is asked for a sign of life
 * @param missedHeartbeats after how many silent periods it is closed
 * @param idleTimeout how long a connection without open requests is kept
 * @param pendingMessages the messages that may wait for a connection to open
 */
public record PeerSettings(
        Duration connectTimeout,
        Duration heartbeatPeriod,
        int missedHeartbeats,
        Duration idleTimeout,
        int pendingMessages) {

    /** The usual timing. */
    public static final PeerSettings DEFAULTS =
            new PeerSettings(Duration.ofSeconds(1), Duration.ofSeconds(1), 4, Duration.ofSeconds(30), 512);
}
