package org.mangowall.inventory;

/** The kind of the runners of a service. */
public enum ServiceKind {
    /** Model engines: streamed chat completions, with a cost by tokens. */
    MODEL,
    /** Plain services: requests with any method and path, with a cost by calls. */
    PLAIN
}
