package org.mangowall.standin.caller;

/** Accepts events for the load generator's thread; its queue has room for all calls that may be open. */
@FunctionalInterface
interface LoadSink {

    /** Queues an event for the load generator's thread. */
    void offer(LoadEvent event);
}
