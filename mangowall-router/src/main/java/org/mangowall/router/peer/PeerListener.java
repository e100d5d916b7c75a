package org.mangowall.router.peer;

import org.mangowall.protocol.PeerMessage;

/** What happens on connections to other routers; called on network threads, and must not block. */
public interface PeerListener {

    /** A connection is open and both sides have said who they are. */
    void connected(PeerConnection connection);

    /** A message came. */
    void received(PeerConnection connection, PeerMessage message);

    /** The connection takes data again, or has become too full. */
    void writabilityChanged(PeerConnection connection);

    /** The connection is gone. */
    void disconnected(PeerConnection connection);

    /**
     * Nothing came on the connection for long and no request depends on it.
     *
     * @return whether it may be closed; from then on nothing more is sent on it
     */
    default boolean mayClose(PeerConnection connection) {
        return true;
    }
}
