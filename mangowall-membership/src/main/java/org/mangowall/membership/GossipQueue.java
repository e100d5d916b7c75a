package org.mangowall.membership;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.mangowall.kernel.name.RouterName;
import org.mangowall.policy.fleet.FleetMember;

/** Member updates to gossip: each is sent a bounded number of times, the least-sent first. */
final class GossipQueue {

    private final Map<RouterName, QueuedUpdate> updates = new LinkedHashMap<>();

    private static final class QueuedUpdate {
        private final FleetMember member;
        private int sends;

        QueuedUpdate(FleetMember member) {
            this.member = member;
        }
    }

    /** Adds an update, which replaces an older update of the same router. */
    void add(FleetMember member) {
        updates.remove(member.name());
        updates.put(member.name(), new QueuedUpdate(member));
    }

    /** Returns up to {@code count} updates and counts a send for each; an update that reaches the limit is removed. */
    List<FleetMember> take(int count, int sendLimit) {
        List<QueuedUpdate> chosen = updates.values().stream()
                .sorted((left, right) -> Integer.compare(left.sends, right.sends))
                .limit(count)
                .toList();
        List<FleetMember> members = new ArrayList<>(chosen.size());
        for (QueuedUpdate update : chosen) {
            members.add(update.member);
            update.sends++;
            if (update.sends >= sendLimit) {
                updates.remove(update.member.name());
            }
        }
        return members;
    }
}
