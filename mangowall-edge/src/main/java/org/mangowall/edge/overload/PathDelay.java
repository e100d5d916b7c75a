package org.mangowall.edge.overload;

import java.util.HashMap;
import java.util.Map;

/**
 * The delay of this host's own network path, from the round trips of its messages to peers and their acknowledgements.
 *
 * <p>A full link of this host delays the messages to all peers, a busy peer only those to itself, so the lowest delay
 * counts. Peers that acknowledge nothing for long are cut off or lost and say nothing about this host.
 */
public final class PathDelay {

    /** The delay of a single peer can't be told apart from that of the own path. */
    private static final int MIN_PEERS = 2;
    /** A peer that is later than this is taken for lost, and older measurements say nothing about the path now. */
    private static final long LOST_NANOS = 2_000_000_000L;

    private static final long NONE = Long.MIN_VALUE;
    private static final double NANOS_PER_MILLI = 1e6;

    private final long acknowledgeNanos;
    private final Map<String, Peer> peers = new HashMap<>();

    /**
     * Creates a measurement without peers.
     *
     * @param acknowledgeNanos the longest time for which peers hold acknowledgements back
     */
    public PathDelay(long acknowledgeNanos) {
        this.acknowledgeNanos = acknowledgeNanos;
    }

    /** The messages to one peer. */
    private static final class Peer {
        private long lastSentAt = NONE;
        /** No later than the first message that isn't acknowledged. */
        private long pendingSince = NONE;

        private long shortestNanos = Long.MAX_VALUE;
        private long lastNanos;
        private long measuredAt = NONE;
    }

    /** Records that a message was sent; the time identifies it. */
    public void sent(String name, long now) {
        Peer peer = peers.computeIfAbsent(name, unknown -> new Peer());
        peer.lastSentAt = now;
        peer.pendingSince = peer.pendingSince == NONE ? now : peer.pendingSince;
    }

    /**
     * Records an acknowledgement.
     *
     * @param sentAt when the last message that it acknowledges was sent
     * @param heldNanos for how long the peer held the acknowledgement back
     */
    public void acknowledged(String name, long sentAt, long heldNanos, long now) {
        Peer peer = peers.get(name);
        if (peer == null || peer.pendingSince == NONE || sentAt < peer.pendingSince || sentAt > peer.lastSentAt) {
            return;
        }
        peer.pendingSince = sentAt == peer.lastSentAt ? NONE : sentAt;
        peer.lastNanos = Math.max(0, now - sentAt - heldNanos);
        peer.shortestNanos = Math.min(peer.shortestNanos, peer.lastNanos);
        peer.measuredAt = now;
    }

    /** Forgets a peer whose connection is closed. */
    public void forget(String name) {
        peers.remove(name);
    }

    /** How much longer than at best a round trip takes, in milliseconds; 0 while too few peers acknowledge. */
    public double delayMillis(long now) {
        long shortest = Long.MAX_VALUE;
        int measuredPeers = 0;
        for (Peer peer : peers.values()) {
            long lateness = peer.pendingSince == NONE ? 0 : now - peer.pendingSince - acknowledgeNanos;
            boolean isMeasured = peer.measuredAt != NONE && now - peer.measuredAt < LOST_NANOS + acknowledgeNanos;
            if (isMeasured && lateness < LOST_NANOS) {
                measuredPeers += 1;
                shortest = Math.min(shortest, Math.max(peer.lastNanos, lateness) - peer.shortestNanos);
            }
        }
        return measuredPeers < MIN_PEERS ? 0 : Math.max(0, shortest) / NANOS_PER_MILLI;
    }
}
