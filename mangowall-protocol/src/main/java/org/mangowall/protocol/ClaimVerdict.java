package org.mangowall.protocol;

/** What the holder of a key partition says of an idempotency key. */
public enum ClaimVerdict {
    /** The key is claimed for this request, which alone may run. */
    GRANTED,
    /** Another request holds the key and may still run. */
    IN_PROGRESS,
    /** Another request held the key and was sent; its outcome is not known. */
    OUTCOME_UNKNOWN,
    /** Another request held the key and completed; its answer comes along if it is still kept. */
    COMPLETED,
    /** The key was used for a request with another content. */
    MISMATCH,
    /** The platform could not confirm the claim; the request has not run. */
    UNAVAILABLE
}
