package org.mangowall.edge.peer;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

import org.mangowall.edge.mirror.StoreAvailability;
import org.mangowall.edge.mirror.StoreMirror;
import org.mangowall.edge.model.HostRecord;
import org.mangowall.edge.wire.ObjectKind;
import org.mangowall.edge.wire.StorePosition;
import org.mangowall.edge.wire.StoredObject;

/**
 * Selects the hosts that read the platform's store, and sends other hosts the objects that they lack.
 *
 * <p>A few hosts read for the whole fleet, so that the number of calls doesn't grow with it. A host that is silent, or
 * whose last call to the store failed, is replaced by the next in rank.
 */
final class StoreReaders {

    /** Number of hosts that read the store; more than the store may reject at the same time in a small fleet. */
    static final int READER_COUNT = 4;

    /** If no host has had a response of the store for this time, every host reads it. */
    private static final long STALE_AFTER_NANOS = 4_200_000_000L;
    /** How long a peer must lack objects before a host that doesn't read the store sends them. */
    private static final long READER_HEAD_START_NANOS = 800_000_000L;
    /** Interval between comparisons with the positions of the peers while no object changes. */
    private static final long COMPARE_INTERVAL_NANOS = 200_000_000L;
    /** A peer has either asked for all objects by then, or its new position has arrived. */
    private static final long COMPARISON_TIMEOUT_NANOS = 600_000_000L;
    /** Minimum time between two messages to the same peer; the first has arrived by then. */
    private static final long SEND_INTERVAL_NANOS = 150_000_000L;

    private final HostRecord self;
    private final StoreMirror mirror;
    private final StoreAvailability storeAvailability;
    private long comparedChanges;
    private long comparedAt;

    StoreReaders(HostRecord self, StoreMirror mirror, StoreAvailability storeAvailability) {
        this.self = self;
        this.mirror = mirror;
        this.storeAvailability = storeAvailability;
    }

    /**
     * Whether this host reads the store.
     *
     * @param alive the other hosts that are not silent
     */
    boolean isReader(Collection<PeerState> alive, long now) {
        if (now - storeAvailability.lastResponseAt() > STALE_AFTER_NANOS) {
            return true;
        }
        long higherRanked = alive.stream()
                .filter(peer -> peer.hasStore() && HostRank.isBefore(peer.host(), self))
                .count();
        return higherRanked < READER_COUNT;
    }

    /** Whether the positions of the peers should be compared now. */
    boolean isComparisonDue(long now) {
        if (mirror.changeCount() == comparedChanges && now - comparedAt <= COMPARE_INTERVAL_NANOS) {
            return false;
        }
        comparedChanges = mirror.changeCount();
        comparedAt = now;
        return true;
    }

    /**
     * Sends a peer the objects that it lacks: at once if this host reads the store or the peer is no relay, otherwise
     * after the peer has lacked them for {@link #READER_HEAD_START_NANOS}.
     */
    void sendMissing(PeerState peer, boolean isReader, long now) {
        if (peer.outbound() == null
                || !peer.outbound().isWritable()
                || now - peer.objectsSentAt() < SEND_INTERVAL_NANOS) {
            return;
        }
        for (Map.Entry<ObjectKind, StorePosition> entry : peer.completeTo().entrySet()) {
            update(peer, entry.getKey(), entry.getValue(), isReader, now).ifPresent(update -> {
                peer.outbound().send(update);
                peer.recordObjectsSent(now);
            });
        }
    }

    /**
     * What to send to a peer that is complete up to a position. A host that doesn't know all deletions since then sends
     * its changes with a fingerprint, and all objects if the peer's differ from them.
     */
    private Optional<HostMessage.StoreObjects> update(
            PeerState peer, ObjectKind kind, StorePosition after, boolean isReader, long now) {
        StorePosition asOf = mirror.completeTo(kind);
        if (!asOf.isAfter(after)) {
            peer.missingForNanos(kind, false, now);
            return Optional.empty();
        }
        List<StoredObject> changed = mirror.changedAfter(kind, after);
        boolean hasAllDeletions = mirror.knowsDeletionsAfter(kind, after);
        long missingNanos = peer.missingForNanos(kind, !changed.isEmpty() || !hasAllDeletions, now);
        if (changed.isEmpty() && hasAllDeletions) {
            return Optional.empty();
        }
        if (!isReader && peer.role().isRelay() && missingNanos <= READER_HEAD_START_NANOS) {
            return Optional.empty();
        }
        if (hasAllDeletions) {
            return Optional.of(new HostMessage.StoreObjects(kind, after, asOf, changed, OptionalLong.empty()));
        }
        if (!peer.comparesFingerprints() || peer.differs(kind, COMPARISON_TIMEOUT_NANOS, now)) {
            peer.endComparison(kind);
            return Optional.of(allObjects(kind, asOf));
        }
        if (peer.isComparing(kind, asOf)) {
            return Optional.empty();
        }
        peer.recordComparison(kind, asOf, now);
        return Optional.of(
                new HostMessage.StoreObjects(kind, after, asOf, changed, OptionalLong.of(mirror.fingerprint(kind))));
    }

    /**
     * Applies an update of another host.
     *
     * @return whether this host has the same objects as the other one, as far as the update tells
     */
    boolean apply(HostMessage.StoreObjects update) {
        if (update.fingerprint().isEmpty()) {
            mirror.applyChangesAfter(update.kind(), update.after(), update.objects(), update.asOf());
            return true;
        }
        long fingerprint = update.fingerprint().getAsLong();
        return mirror.applyChangesWithoutDeletions(update.kind(), update.objects(), update.asOf(), fingerprint);
    }

    /** Sends all objects to a peer whose objects differ from a fingerprint of this host. */
    void sendAll(PeerState peer, ObjectKind kind, long now) {
        peer.endComparison(kind);
        peer.outbound().send(allObjects(kind, mirror.completeTo(kind)));
        peer.recordObjectsSent(now);
    }

    private HostMessage.StoreObjects allObjects(ObjectKind kind, StorePosition asOf) {
        List<StoredObject> all = mirror.changedAfter(kind, StorePosition.START);
        return new HostMessage.StoreObjects(kind, StorePosition.START, asOf, all, OptionalLong.empty());
    }
}
