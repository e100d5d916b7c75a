package org.mangowall.policy.core;

/** State of a request at its home; requests that have ended are removed. */
enum RequestState {
    /** Waits for its first attempt, or for another one after an attempt that failed. */
    QUEUED,
    /** Sent, or being sent, to a runner; its answer has not begun. */
    SENT,
    /** Its answer has begun. */
    ANSWERING
}
