package org.mangowall.router.caller;

/** How far a router is in its life, as callers notice it. */
public enum ServiceState {
    /** Not ready yet. */
    STARTING,
    /** Takes requests. */
    SERVING,
    /** Has left the list of entry hosts, and still takes requests of callers that keep an older list. */
    LEAVING,
    /** Takes nothing new and finishes what it has. */
    DRAINING
}
