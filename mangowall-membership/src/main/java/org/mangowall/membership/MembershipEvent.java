package org.mangowall.membership;

import java.util.List;

import org.mangowall.kernel.name.RouterName;
import org.mangowall.policy.fleet.FleetMember;

/** Something that a membership core learns. */
public sealed interface MembershipEvent {

    /** The platform's list of hosts was read; the router itself may be in it. */
    record HostsListed(List<HostCandidate> hosts) implements MembershipEvent {

        /** Copies the hosts. */
        public HostsListed {
            hosts = List.copyOf(hosts);
        }
    }

    /** The platform's list can't be read now. */
    record HostsUnavailable() implements MembershipEvent {}

    /** A peer probes this router; the first of the members is the peer itself. */
    record ProbeReceived(RouterName from, long sequence, List<FleetMember> members) implements MembershipEvent {

        /** Copies the members. */
        public ProbeReceived {
            members = List.copyOf(members);
        }
    }

    /** A peer answered a probe, or sends a part of its member list with sequence 0. */
    record ProbeAnswered(RouterName from, long sequence, List<FleetMember> members) implements MembershipEvent {

        /** Copies the members. */
        public ProbeAnswered {
            members = List.copyOf(members);
        }
    }

    /** A peer asks for the whole member list. */
    record MembersRequested(RouterName from) implements MembershipEvent {}

    /** The connection to a peer broke or could not be opened. */
    record ConnectionLost(RouterName peer) implements MembershipEvent {}

    /** The router begins a graceful shutdown. */
    record LeaveBegan() implements MembershipEvent {}

    /** The graceful shutdown is done and the process ends. */
    record LeaveEnded() implements MembershipEvent {}

    /** Time has passed; comes at least every 100 ms. */
    record ClockTicked() implements MembershipEvent {}
}
