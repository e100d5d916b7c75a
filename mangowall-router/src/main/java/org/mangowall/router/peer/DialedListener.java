package org.mangowall.router.peer;

import org.mangowall.protocol.PeerMessage;

/** Keeps a link informed of the connection that it opened. */
final class DialedListener implements PeerListener {

    private final PeerLink link;
    private final PeerListener next;
    private boolean greeted;

    DialedListener(PeerLink link, PeerListener next) {
        this.link = link;
        this.next = next;
    }

    @Override
    public void connected(PeerConnection connection) {
        greeted = true;
        next.connected(connection);
        link.opened(connection);
    }

    @Override
    public void received(PeerConnection connection, PeerMessage message) {
        next.received(connection, message);
    }

    @Override
    public void writabilityChanged(PeerConnection connection) {
        next.writabilityChanged(connection);
    }

    @Override
    public void disconnected(PeerConnection connection) {
        if (!greeted) {
            link.failed();
            return;
        }
        link.closed(connection);
        next.disconnected(connection);
    }

    @Override
    public boolean mayClose(PeerConnection connection) {
        return link.retire(connection);
    }
}
