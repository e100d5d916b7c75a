package org.mangowall.claims;

/** How far the request that holds a key has come. */
public enum ClaimState {
    /** It may run or may have run. */
    CLAIMED,
    /** It ran and its answer was whole. */
    COMPLETED,
    /** It was sent and nobody knows how it ended. */
    OUTCOME_UNKNOWN
}
