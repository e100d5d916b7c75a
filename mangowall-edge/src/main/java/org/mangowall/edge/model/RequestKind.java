package org.mangowall.edge.model;

/** How often a request may run. */
public enum RequestKind {
    /** May run any number of times. */
    IDEMPOTENT,
    /** Runs once at most. */
    NON_IDEMPOTENT,
    /** A stream of events that runs once at most. */
    STREAM,
    /** A stream of events that another runner may continue after the last event that arrived. */
    RESUMABLE_STREAM;

    /** Whether the answer is a stream of events. */
    public boolean isStream() {
        return this == STREAM || this == RESUMABLE_STREAM;
    }

    /** Whether the request may be sent again although it may have run. */
    public boolean isRepeatable() {
        return this == IDEMPOTENT || this == RESUMABLE_STREAM;
    }
}
