package org.mangowall.claims;

/** The state of the request that holds a key. Stored by ordinal: the order must not change. */
public enum ClaimState {
    /** The request may run, or may have run. */
    CLAIMED,
    /** The request ran and its answer was complete. */
    COMPLETED,
    /** The request was sent to a runner and its outcome is unknown. */
    OUTCOME_UNKNOWN
}
