package org.mangowall.membership;

import java.util.List;

import org.mangowall.kernel.name.RouterName;
import org.mangowall.policy.fleet.FleetMember;

/** An input of {@link MembershipCore}. */
public sealed interface MembershipEvent {

    /** The platform's list of hosts was read; it may contain this router itself. */
    record HostsListed(List<HostCandidate> hosts) implements MembershipEvent {

        /** Copies the hosts. */
        public HostsListed {
            hosts = List.copyOf(hosts);
        }
    }

    /** The platform's list of hosts could not be read. */
    record HostsUnavailable() implements MembershipEvent {}

    /** A probe arrived from a peer; the first of the members is the peer itself. */
    record ProbeReceived(RouterName from, long sequence, List<FleetMember> members) implements MembershipEvent {

        /** Copies the members. */
        public ProbeReceived {
            members = List.copyOf(members);
        }
    }

    /** A probe answer arrived; sequence 0 marks a part of the whole member list, which was requested. */
    record ProbeAnswered(RouterName from, long sequence, List<FleetMember> members) implements MembershipEvent {

        /** Copies the members. */
        public ProbeAnswered {
            members = List.copyOf(members);
        }
    }

    /** A peer requests the whole member list. */
    record MembersRequested(RouterName from) implements MembershipEvent {}

    /** The connection to a peer broke or could not be opened. */
    record ConnectionLost(RouterName peer) implements MembershipEvent {}

    /** This router begins a graceful shutdown. */
    record LeaveBegan() implements MembershipEvent {}

    /** The graceful shutdown is complete and the process ends. */
    record LeaveEnded() implements MembershipEvent {}

    /** Time has passed; occurs at least every 100 ms. */
    record ClockTicked() implements MembershipEvent {}
}
