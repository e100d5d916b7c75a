package org.mangowall.membership;

import java.util.ArrayList;
import java.util.List;

import org.mangowall.kernel.name.ZoneName;
import org.mangowall.policy.fleet.FleetMember;
import org.mangowall.policy.fleet.MemberState;

/** Member updates that a router gossips, in one queue for its own zone and one for all other zones. */
final class ZoneGossipQueues {

    private static final int BASE_SENDS = 2;

    private final ZoneName zone;
    private final int maximumMembersPerMessage;
    private final GossipQueue ownZoneQueue = new GossipQueue();
    private final GossipQueue otherZonesQueue = new GossipQueue();

    ZoneGossipQueues(ZoneName zone, int maximumMembersPerMessage) {
        this.zone = zone;
        this.maximumMembersPerMessage = maximumMembersPerMessage;
    }

    /** Adds a member update for all zones. */
    void add(FleetMember update) {
        ownZoneQueue.add(update);
        otherZonesQueue.add(update);
    }

    /**
     * Builds the member list of one message: the sender, the receiver if it is suspected or dead so that it can refute
     * that, then queued updates.
     *
     * @param receiver the receiver as the sender sees it
     * @param peers the number of routers with which the sender exchanges probes
     */
    List<FleetMember> compose(FleetMember self, FleetMember receiver, int peers) {
        List<FleetMember> members = new ArrayList<>();
        members.add(self);
        if (receiver.state() == MemberState.SUSPECT || receiver.state() == MemberState.DEAD) {
            members.add(receiver);
        }
        GossipQueue queue = receiver.zone().equals(zone) ? ownZoneQueue : otherZonesQueue;
        members.addAll(queue.take(maximumMembersPerMessage - members.size(), sendLimit(peers)));
        return members;
    }

    private static int sendLimit(int peers) {
        return BASE_SENDS + 2 * GossipRounds.toReach(peers);
    }
}
