package org.mangowall.inventory;

/** What kind of runners a service has. */
public enum ServiceKind {
    /** Model engines: chat completions with a stream, cost in tokens. */
    MODEL,
    /** Plain services: any method and path, cost in calls. */
    PLAIN
}
