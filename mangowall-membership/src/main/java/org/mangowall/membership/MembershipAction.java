package org.mangowall.membership;

import java.util.List;

import org.mangowall.kernel.name.RouterName;
import org.mangowall.policy.fleet.FleetMember;
import org.mangowall.policy.fleet.FleetView;

/** Something that a membership core orders. */
public sealed interface MembershipAction {

    /** Probe a peer, opening a connection to its address if there is none. */
    record SendProbe(FleetMember to, long sequence, List<FleetMember> members) implements MembershipAction {

        /** Copies the members. */
        public SendProbe {
            members = List.copyOf(members);
        }
    }

    /** Answer a probe, or send a part of the member list with sequence 0. */
    record SendProbeAnswer(RouterName to, long sequence, List<FleetMember> members) implements MembershipAction {

        /** Copies the members. */
        public SendProbeAnswer {
            members = List.copyOf(members);
        }
    }

    /** Ask a peer for its whole member list. */
    record RequestMembers(RouterName to) implements MembershipAction {}

    /** The view of the fleet is now this. */
    record ChangeView(FleetView view) implements MembershipAction {}

    /** An incarnation of a router is gone for good in this router's view. */
    record ReportLost(RouterName router, long incarnation) implements MembershipAction {}

    /** The first view is complete enough to take work. */
    record ReportJoined() implements MembershipAction {}

    /** A later incarnation of this router runs elsewhere; this one must stop. */
    record ReportSuperseded(long laterIncarnation) implements MembershipAction {}
}
