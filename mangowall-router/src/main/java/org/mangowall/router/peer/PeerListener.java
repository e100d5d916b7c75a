package org.mangowall.router.peer;

import org.mangowall.protocol.PeerMessage;

/** Receives the events of connections to other routers; called on network threads and must not block. */
public interface PeerListener {

    /** Called when a connection is open and both routers have exchanged hello messages. */
    void connected(PeerConnection connection);

    /** Called for each message after the hello, apart from heartbeats. */
    void received(PeerConnection connection, PeerMessage message);

    /** Called when the send buffer of the connection has become full, or has room again. */
    void writabilityChanged(PeerConnection connection);

    /** Called when the connection is closed; for an accepted connection also when no hello arrived. */
    void disconnected(PeerConnection connection);

    /**
     * Called when the idle timeout of a connection has passed and no request depends on it.
     *
     * @return whether it may be closed; true promises that nothing more is sent on it
     */
    default boolean mayClose(PeerConnection connection) {
        return true;
    }
}
