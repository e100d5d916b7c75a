package org.mangowall.policy.core;

/** The states of a request at its home; it leaves the table when it ends. */
enum RequestState {
    /** Waits; nothing of it was sent, or a repeatable one waits for another try. */
    QUEUED,
    /** Sent, or being sent, to a runner. */
    SENT,
    /** Its answer has begun. */
    ANSWERING
}
