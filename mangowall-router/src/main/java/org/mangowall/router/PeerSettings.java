package org.mangowall.router;

import java.time.Duration;

/**
 * Timeouts and limits of connections between routers.
 *
 * @param connectTimeout how long opening a connection may take, including the handshake messages
 * @param heartbeatPeriod the time without traffic after which a connection with open requests sends a heartbeat
 * @param missedHeartbeats the number of heartbeat periods without traffic after which it is closed
 * @param idleTimeout how long a connection without open requests is kept open
 * @param pendingMessages the largest number of messages queued while a connection opens
 */
public record PeerSettings(
        Duration connectTimeout,
        Duration heartbeatPeriod,
        int missedHeartbeats,
        Duration idleTimeout,
        int pendingMessages) {

    /** The default timeouts and limits. */
    public static final PeerSettings DEFAULTS =
            new PeerSettings(Duration.ofSeconds(1), Duration.ofSeconds(1), 4, Duration.ofSeconds(30), 512);
}
