package org.mangowall.membership;

import java.util.List;

import org.mangowall.kernel.name.RouterName;
import org.mangowall.policy.fleet.FleetMember;
import org.mangowall.policy.fleet.FleetView;

/** An action that the caller of {@link MembershipCore} has to carry out. */
public sealed interface MembershipAction {

    /** Send a probe, over a new connection if none is open to the peer. */
    record SendProbe(FleetMember to, long sequence, List<FleetMember> members) implements MembershipAction {

        /** Copies the members. */
        public SendProbe {
            members = List.copyOf(members);
        }
    }

    /** Answer a probe; sequence 0 marks a part of the whole member list, which a peer requested. */
    record SendProbeAnswer(RouterName to, long sequence, List<FleetMember> members) implements MembershipAction {

        /** Copies the members. */
        public SendProbeAnswer {
            members = List.copyOf(members);
        }
    }

    /** Request the whole member list of a peer. */
    record RequestMembers(RouterName to) implements MembershipAction {}

    /** Publish a changed view of the fleet. */
    record ChangeView(FleetView view) implements MembershipAction {}

    /** Report that an incarnation of a router is dead or was replaced by a later one. */
    record ReportLost(RouterName router, long incarnation) implements MembershipAction {}

    /** Report that the first view is complete enough to accept requests. */
    record ReportJoined() implements MembershipAction {}

    /** Report that a later incarnation of this router runs and that this one must stop. */
    record ReportSuperseded(long laterIncarnation) implements MembershipAction {}
}
