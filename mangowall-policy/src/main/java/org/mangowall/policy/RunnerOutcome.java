package org.mangowall.policy;

/** Outcome of one attempt to run a request at a runner. */
public enum RunnerOutcome {
    /** The answer was received completely. */
    COMPLETED,
    /** No byte was sent: the connection could not be made. */
    NOT_SENT,
    /** The runner refused the request without running it. */
    REFUSED,
    /** The connection was lost after sending began. */
    BROKEN,
    /** There was no progress within the timeout, and the connection was closed. */
    TIMED_OUT,
    /** The router cancelled the request. */
    CANCELLED
}
