package org.mangowall.router.peer;

import java.net.InetSocketAddress;
import java.time.Clock;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;

import org.mangowall.platform.retry.Backoff;

/**
 * The link to one other router, which opens a connection when a message needs one.
 *
 * <p>After a failed connection attempt the next one waits for a jittered back-off time; messages sent during that time
 * are dropped at once, and their senders are notified.
 */
final class PeerLink {

    /** Starts connection attempts; reports the result to the link. */
    @FunctionalInterface
    interface Dialer {

        void dial(PeerLink link, InetSocketAddress address);
    }

    private final Clock clock;
    private final Backoff backoff;
    private final Dialer dialer;
    private final int maximumPendingMessages;
    private final Queue<PendingMessage> pendingMessages = new ArrayDeque<>();
    private InetSocketAddress address;
    private PeerConnection connection;
    private boolean dialing;
    private long nextDialMillis;

    PeerLink(Clock clock, Backoff backoff, Dialer dialer, int maximumPendingMessages, InetSocketAddress address) {
        this.clock = clock;
        this.backoff = backoff;
        this.dialer = dialer;
        this.maximumPendingMessages = maximumPendingMessages;
        this.address = address;
    }

    synchronized void setAddress(InetSocketAddress newAddress) {
        if (newAddress.equals(address)) {
            return;
        }
        address = newAddress;
        nextDialMillis = 0;
        backoff.reset();
        if (connection != null) {
            connection.close();
        }
    }

    /** Sends or queues the message; when it is dropped, calls {@code onDropped} and returns false. */
    boolean send(PendingMessage message) {
        boolean accepted = sendOrQueue(message);
        if (!accepted) {
            message.onDropped().run();
        }
        return accepted;
    }

    private synchronized boolean sendOrQueue(PendingMessage message) {
        if (connection != null && connection.isActive()) {
            return message.sendOn(connection);
        }
        boolean mayDial = dialing || clock.millis() >= nextDialMillis;
        if (!mayDial || pendingMessages.size() >= maximumPendingMessages) {
            return false;
        }
        pendingMessages.add(message);
        if (!dialing) {
            dialing = true;
            dialer.dial(this, address);
        }
        return true;
    }

    void connectionOpened(PeerConnection opened) {
        List<PendingMessage> droppedMessages = new ArrayList<>();
        synchronized (this) {
            dialing = false;
            backoff.reset();
            nextDialMillis = 0;
            connection = opened;
            PendingMessage next = pendingMessages.poll();
            while (next != null) {
                if (!next.sendOn(opened)) {
                    droppedMessages.add(next);
                }
                next = pendingMessages.poll();
            }
        }
        droppedMessages.forEach(message -> message.onDropped().run());
    }

    void connectFailed() {
        List<PendingMessage> droppedMessages;
        synchronized (this) {
            dialing = false;
            nextDialMillis = clock.millis() + backoff.next().toMillis();
            droppedMessages = new ArrayList<>(pendingMessages);
            pendingMessages.clear();
        }
        droppedMessages.forEach(message -> message.onDropped().run());
    }

    /** Detaches the connection if no request depends on it; the next message opens a new one. */
    synchronized boolean releaseIfUnused(PeerConnection idle) {
        if (idle.openRequests() > 0) {
            return false;
        }
        connectionClosed(idle);
        return true;
    }

    synchronized void connectionClosed(PeerConnection closed) {
        if (connection == closed) {
            connection = null;
        }
    }

    synchronized void close() {
        if (connection != null) {
            connection.close();
        }
    }
}
