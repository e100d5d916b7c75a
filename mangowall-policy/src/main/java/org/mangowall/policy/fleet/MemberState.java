package org.mangowall.policy.fleet;

/** The state of a router in the view of another. */
public enum MemberState {
    /** Answers heartbeats. */
    ALIVE,
    /** Has missed heartbeats; it keeps its homes until it is dead. */
    SUSPECT,
    /** Has said that it is shutting down: it takes nothing new and finishes what it has. */
    LEAVING,
    /** Has been silent for too long, or has left. */
    DEAD
}
