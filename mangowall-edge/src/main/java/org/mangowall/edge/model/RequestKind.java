package org.mangowall.edge.model;

/** How often a request may be executed and how its response is delivered. */
public enum RequestKind {
    /** May run any number of times. */
    IDEMPOTENT,
    /** May run at most once. */
    NON_IDEMPOTENT,
    /** A stream of events; may run at most once. */
    STREAM,
    /** A stream of events that another runner can resume after the last event received. */
    RESUMABLE_STREAM;

    /** Whether the response is a stream of events. */
    public boolean isStream() {
        return this == STREAM || this == RESUMABLE_STREAM;
    }

    /** Whether the request may be sent again although it may have run. */
    public boolean isRepeatable() {
        return this == IDEMPOTENT || this == RESUMABLE_STREAM;
    }
}
