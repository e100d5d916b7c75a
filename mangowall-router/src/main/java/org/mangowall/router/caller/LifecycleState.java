package org.mangowall.router.caller;

/** The lifecycle state of a router, as far as callers can observe it. */
public enum LifecycleState {
    /** Not ready yet. */
    STARTING,
    /** Accepts requests. */
    SERVING,
    /** No longer in the list of entry hosts, but still accepts requests from callers that cache an older list. */
    LEAVING,
    /** Refuses new requests and finishes the open ones. */
    DRAINING
}
