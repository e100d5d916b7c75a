package org.mangowall.membership;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.mangowall.kernel.name.RouterName;

/** Probes that await an answer, at most one for each peer. */
final class PendingProbes {

    private final Map<RouterName, PendingProbe> pending = new TreeMap<>();
    private long sequence;

    private record PendingProbe(long sequence, Instant deadline) {}

    /** Registers a probe and returns its sequence number; an open probe to the same peer keeps its deadline. */
    long open(RouterName peer, Instant deadline) {
        sequence++;
        pending.putIfAbsent(peer, new PendingProbe(sequence, deadline));
        return sequence;
    }

    /** Completes the open probe to a peer; answers to probes sent before it are ignored. */
    void complete(RouterName peer, long answeredSequence) {
        PendingProbe probe = pending.get(peer);
        if (probe != null && answeredSequence >= probe.sequence()) {
            pending.remove(peer);
        }
    }

    /** Whether a probe to the peer awaits its answer. */
    boolean isOpen(RouterName peer) {
        return pending.containsKey(peer);
    }

    /** Discards the open probe to a peer. */
    void discard(RouterName peer) {
        pending.remove(peer);
    }

    /** Discards all open probes. */
    void clear() {
        pending.clear();
    }

    /** Removes the probes whose deadline has passed and returns their peers. */
    List<RouterName> removeOverdue(Instant now) {
        List<RouterName> overdue = new ArrayList<>();
        Iterator<Map.Entry<RouterName, PendingProbe>> iterator =
                pending.entrySet().iterator();
        while (iterator.hasNext()) {
            Map.Entry<RouterName, PendingProbe> probe = iterator.next();
            if (!probe.getValue().deadline().isAfter(now)) {
                iterator.remove();
                overdue.add(probe.getKey());
            }
        }
        return overdue;
    }
}
