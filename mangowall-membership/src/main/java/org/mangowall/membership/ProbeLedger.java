package org.mangowall.membership;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.mangowall.kernel.name.RouterName;

/** The probes that still wait for their answers, at most one for each peer. */
final class ProbeLedger {

    private final Map<RouterName, Outstanding> outstanding = new TreeMap<>();
    private long sequence;

    private record Outstanding(long sequence, Instant deadline) {}

    /** Numbers a new probe; an older one to the same peer keeps its deadline. */
    long open(RouterName peer, Instant deadline) {
        sequence++;
        outstanding.putIfAbsent(peer, new Outstanding(sequence, deadline));
        return sequence;
    }

    /** Ends the probe of a peer with its answer; answers to earlier probes do not count. */
    void answered(RouterName peer, long answeredSequence) {
        Outstanding probe = outstanding.get(peer);
        if (probe != null && answeredSequence >= probe.sequence()) {
            outstanding.remove(peer);
        }
    }

    /** Whether a probe to the peer waits for its answer. */
    boolean isOpen(RouterName peer) {
        return outstanding.containsKey(peer);
    }

    /** Gives up a probe. */
    void drop(RouterName peer) {
        outstanding.remove(peer);
    }

    /** Gives up all probes. */
    void clear() {
        outstanding.clear();
    }

    /** Takes out the peers whose answers are overdue. */
    List<RouterName> takeOverdue(Instant now) {
        List<RouterName> overdue = new ArrayList<>();
        Iterator<Map.Entry<RouterName, Outstanding>> iterator =
                outstanding.entrySet().iterator();
        while (iterator.hasNext()) {
            Map.Entry<RouterName, Outstanding> probe = iterator.next();
            if (!probe.getValue().deadline().isAfter(now)) {
                iterator.remove();
                overdue.add(probe.getKey());
            }
        }
        return overdue;
    }
}
