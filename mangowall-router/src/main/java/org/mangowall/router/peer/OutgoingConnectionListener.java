package org.mangowall.router.peer;

import org.mangowall.protocol.PeerMessage;

/** Reports the state of an outgoing connection to its link, and forwards events to a listener once it is open. */
final class OutgoingConnectionListener implements PeerListener {

    private final PeerLink link;
    private final PeerListener delegate;
    private boolean helloReceived;

    OutgoingConnectionListener(PeerLink link, PeerListener delegate) {
        this.link = link;
        this.delegate = delegate;
    }

    @Override
    public void connected(PeerConnection connection) {
        helloReceived = true;
        delegate.connected(connection);
        link.connectionOpened(connection);
    }

    @Override
    public void received(PeerConnection connection, PeerMessage message) {
        delegate.received(connection, message);
    }

    @Override
    public void writabilityChanged(PeerConnection connection) {
        delegate.writabilityChanged(connection);
    }

    @Override
    public void disconnected(PeerConnection connection) {
        if (!helloReceived) {
            link.connectFailed();
            return;
        }
        link.connectionClosed(connection);
        delegate.disconnected(connection);
    }

    @Override
    public boolean mayClose(PeerConnection connection) {
        return link.releaseIfUnused(connection);
    }
}
