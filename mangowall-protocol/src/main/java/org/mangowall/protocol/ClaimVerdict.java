package org.mangowall.protocol;

/** The decision of a key partition's holder on a claim of an idempotency key. */
public enum ClaimVerdict {
    /** The key is claimed for this request; no other request with the key may run. */
    GRANTED,
    /** Another request holds the key and may still run. */
    IN_PROGRESS,
    /** Another request with the key was sent to a runner; its outcome is not known. */
    OUTCOME_UNKNOWN,
    /** Another request with the key completed; its response is included if it is still stored. */
    COMPLETED,
    /** The key was used for a request with different content. */
    MISMATCH,
    /** The platform could not confirm the claim; the request has not run. */
    UNAVAILABLE
}
