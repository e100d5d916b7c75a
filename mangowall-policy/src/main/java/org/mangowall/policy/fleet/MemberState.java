package org.mangowall.policy.fleet;

/** Membership state of a router, as known to another one. */
public enum MemberState {
    /** Answers heartbeats. */
    ALIVE,
    /** Has missed heartbeats; it stays home of its runners until it is dead. */
    SUSPECT,
    /** Has announced its shutdown: takes no new requests and finishes those it has. */
    LEAVING,
    /** Has been silent for too long, or has left. */
    DEAD
}
