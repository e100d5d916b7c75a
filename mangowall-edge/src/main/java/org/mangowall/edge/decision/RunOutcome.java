package org.mangowall.edge.decision;

/** How an attempt to run a request on a runner ended. */
public enum RunOutcome {
    /** The runner sent a complete successful response. */
    COMPLETE,
    /** The connection to the runner was lost after the request was sent. */
    LOST,
    /** Any other end, which says nothing about the prompt: not run, failed, cancelled, silent. */
    OTHER
}
