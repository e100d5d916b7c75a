package org.mangowall.policy.fleet;

import org.mangowall.kernel.name.RouterName;
import org.mangowall.kernel.name.ZoneName;

/**
 * State of one router of the fleet.
 *
 * @param name the name of the router
 * @param incarnation grows with each start of the process
 * @param zone the availability zone in which it runs
 * @param host the IP address of all its ports
 * @param callerPort the TCP port for callers
 * @param peerPort the TCP port for other routers
 * @param state its membership state
 * @param revision grows within an incarnation when the router refutes a suspicion or begins to leave
 */
public record FleetMember(
        RouterName name,
        long incarnation,
        ZoneName zone,
        String host,
        int callerPort,
        int peerPort,
        MemberState state,
        int revision) {

    /** Creates a member at its first revision. */
    public FleetMember(
            RouterName name,
            long incarnation,
            ZoneName zone,
            String host,
            int callerPort,
            int peerPort,
            MemberState state) {
        this(name, incarnation, zone, host, callerPort, peerPort, state, 0);
    }

    /** Returns this member in another state. */
    public FleetMember withState(MemberState other) {
        return new FleetMember(name, incarnation, zone, host, callerPort, peerPort, other, revision);
    }

    /** Returns this member at another revision. */
    public FleetMember withRevision(int other) {
        return new FleetMember(name, incarnation, zone, host, callerPort, peerPort, state, other);
    }

    /** Whether the router may be home of runners, that is alive or only suspected. */
    public boolean mayBeHome() {
        return state == MemberState.ALIVE || state == MemberState.SUSPECT;
    }
}
