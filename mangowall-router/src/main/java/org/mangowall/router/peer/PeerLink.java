package org.mangowall.router.peer;

import java.net.InetSocketAddress;
import java.time.Clock;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;

import org.mangowall.platform.retry.Backoff;

/**
 * The way to one other router: a connection that is opened when a message needs it.
 *
 * <p>After a failed try nothing is tried for a jittered time; messages of that time are dropped at once, which their
 * senders are told.
 */
final class PeerLink {

    /** Opens connections. */
    @FunctionalInterface
    interface Dialer {

        void dial(PeerLink link, InetSocketAddress address);
    }

    private final Clock clock;
    private final Backoff backoff;
    private final Dialer dialer;
    private final int maximumPending;
    private final Queue<PendingMessage> pending = new ArrayDeque<>();
    private InetSocketAddress address;
    private PeerConnection connection;
    private boolean dialing;
    private long nextDialMillis;

    PeerLink(Clock clock, Backoff backoff, Dialer dialer, int maximumPending, InetSocketAddress address) {
        this.clock = clock;
        this.backoff = backoff;
        this.dialer = dialer;
        this.maximumPending = maximumPending;
        this.address = address;
    }

    synchronized void moveTo(InetSocketAddress other) {
        if (other.equals(address)) {
            return;
        }
        address = other;
        nextDialMillis = 0;
        backoff.reset();
        if (connection != null) {
            connection.close();
        }
    }

    /** Sends or keeps the message; false when it was dropped, which {@code dropped} is told as well. */
    boolean send(PendingMessage message) {
        boolean kept = sendOrKeep(message);
        if (!kept) {
            message.dropped().run();
        }
        return kept;
    }

    private synchronized boolean sendOrKeep(PendingMessage message) {
        if (connection != null && connection.isActive()) {
            return message.sendOn(connection);
        }
        boolean mayDial = dialing || clock.millis() >= nextDialMillis;
        if (!mayDial || pending.size() >= maximumPending) {
            return false;
        }
        pending.add(message);
        if (!dialing) {
            dialing = true;
            dialer.dial(this, address);
        }
        return true;
    }

    void opened(PeerConnection open) {
        List<PendingMessage> lost = new ArrayList<>();
        synchronized (this) {
            dialing = false;
            backoff.reset();
            nextDialMillis = 0;
            connection = open;
            PendingMessage next = pending.poll();
            while (next != null) {
                if (!next.sendOn(open)) {
                    lost.add(next);
                }
                next = pending.poll();
            }
        }
        lost.forEach(message -> message.dropped().run());
    }

    void failed() {
        List<PendingMessage> lost;
        synchronized (this) {
            dialing = false;
            nextDialMillis = clock.millis() + backoff.next().toMillis();
            lost = new ArrayList<>(pending);
            pending.clear();
        }
        lost.forEach(message -> message.dropped().run());
    }

    /** Gives the connection up if no request depends on it; the next message opens another one. */
    synchronized boolean retire(PeerConnection idle) {
        if (idle.openRequests() > 0) {
            return false;
        }
        closed(idle);
        return true;
    }

    synchronized void closed(PeerConnection gone) {
        if (connection == gone) {
            connection = null;
        }
    }

    synchronized void close() {
        if (connection != null) {
            connection.close();
        }
    }
}
