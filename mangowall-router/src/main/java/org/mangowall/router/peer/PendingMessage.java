package org.mangowall.router.peer;

import java.util.function.Consumer;

import org.mangowall.protocol.PeerMessage;

/**
 * A message that waits for a connection.
 *
 * @param message the message
 * @param beforeSend called with the connection immediately before the message is written to it
 * @param onDropped called when it is certain that nothing was written
 */
record PendingMessage(PeerMessage message, Consumer<PeerConnection> beforeSend, Runnable onDropped) {

    static PendingMessage of(PeerMessage message) {
        return new PendingMessage(message, connection -> {}, () -> {});
    }

    /** Sends the message; false when the connection was already closed and nothing was written. */
    boolean sendOn(PeerConnection connection) {
        beforeSend.accept(connection);
        return connection.send(message);
    }
}
