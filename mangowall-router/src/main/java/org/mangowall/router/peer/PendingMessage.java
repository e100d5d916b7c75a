package org.mangowall.router.peer;

import java.util.function.Consumer;

import org.mangowall.protocol.PeerMessage;

/**
 * A message that waits for a connection.
 *
 * @param message the message
 * @param beforeSend is told the connection right before the message is written to it
 * @param dropped is called instead when it is certain that nothing was written
 */
record PendingMessage(PeerMessage message, Consumer<PeerConnection> beforeSend, Runnable dropped) {

    static PendingMessage of(PeerMessage message) {
        return new PendingMessage(message, connection -> {}, () -> {});
    }

    /** Sends the message; false when the connection was closed already, so that nothing was written. */
    boolean sendOn(PeerConnection connection) {
        beforeSend.accept(connection);
        return connection.send(message);
    }
}
