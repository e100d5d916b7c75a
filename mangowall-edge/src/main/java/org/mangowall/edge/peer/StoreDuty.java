package org.mangowall.edge.peer;

import java.util.Collection;
import java.util.List;
import java.util.Map;

import org.mangowall.edge.mirror.StoreAvailability;
import org.mangowall.edge.mirror.StoreMirror;
import org.mangowall.edge.model.HostRecord;
import org.mangowall.edge.wire.ObjectKind;
import org.mangowall.edge.wire.StoredObject;

/**
 * Decides which hosts ask the platform's store, and tells the others what they lack.
 *
 * <p>A few hosts ask for all, so that the calls don't grow with the fleet. A host that is not heard, or that the store
 * turns away, is replaced by the next in rank.
 */
final class StoreDuty {

    /** So many hosts ask the store; more than may be turned away by it together on a small fleet. */
    static final int HOSTS = 4;

    /** Without news of the store from any host for so long, each asks by itself. */
    private static final long STALE_NANOS = 4_200_000_000L;
    /** A host that doesn't ask the store leaves it so long to those that do to tell the others. */
    private static final long LEFT_TO_DUTY_NANOS = 800_000_000L;
    /** How often the others' knowledge is compared when nothing changed. */
    private static final long COMPARE_NANOS = 200_000_000L;
    /** Between two tellings to the same host: the time that one takes to arrive. */
    private static final long TELL_PAUSE_NANOS = 150_000_000L;

    private final HostRecord self;
    private final StoreMirror mirror;
    private final StoreAvailability contact;
    private long comparedChanges;
    private long comparedAt;

    StoreDuty(HostRecord self, StoreMirror mirror, StoreAvailability contact) {
        this.self = self;
        this.mirror = mirror;
        this.contact = contact;
    }

    /**
     * Whether this host asks the store.
     *
     * @param alive the other hosts that are heard
     */
    boolean isOnDuty(Collection<PeerState> alive, long now) {
        if (now - contact.lastAnswerAt() > STALE_NANOS) {
            return true;
        }
        long ahead = alive.stream()
                .filter(peer -> peer.hasStore() && HostRank.isBefore(peer.host(), self))
                .count();
        return ahead < HOSTS;
    }

    /** Whether the others' knowledge should be compared now. */
    boolean isDue(long now) {
        if (mirror.changes() == comparedChanges && now - comparedAt <= COMPARE_NANOS) {
            return false;
        }
        comparedChanges = mirror.changes();
        comparedAt = now;
        return true;
    }

    /**
     * Tells another host what it lacks: at once if this host is on duty or the other one's relay, else when nobody
     * else does.
     */
    void tellMissing(PeerState peer, boolean isOnDuty, long now) {
        if (peer.outbound() == null || !peer.outbound().isWritable() || now - peer.toldObjectsAt() < TELL_PAUSE_NANOS) {
            return;
        }
        for (Map.Entry<ObjectKind, Long> entry : peer.completeTo().entrySet()) {
            ObjectKind kind = entry.getKey();
            if (mirror.completeTo(kind) <= entry.getValue()) {
                continue;
            }
            List<StoredObject> missing = mirror.changedAfter(kind, entry.getValue());
            long lacking = peer.lackingFor(!missing.isEmpty(), now);
            if (!missing.isEmpty() && (isOnDuty || !peer.role().isRelay() || lacking > LEFT_TO_DUTY_NANOS)) {
                peer.outbound().send(new PeerNews.Objects(kind, mirror.completeTo(kind), missing));
                peer.noteToldObjects(now);
            }
        }
    }
}
