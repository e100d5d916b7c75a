package org.mangowall.policy;

/** How the sending of a request to a runner ended. */
public enum RunnerOutcome {
    /** The whole answer came. */
    COMPLETED,
    /** No byte was sent: the connection could not be made. */
    NOT_SENT,
    /** The runner said that it did not run the request. */
    REFUSED,
    /** The connection broke after sending began. */
    BROKEN,
    /** No progress in time; the connection was closed. */
    TIMED_OUT,
    /** The router cancelled it. */
    CANCELLED
}
