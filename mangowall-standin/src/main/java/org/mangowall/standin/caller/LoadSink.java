package org.mangowall.standin.caller;

/** Takes events for the load's duty; the ring is as large as the calls that may be open. */
@FunctionalInterface
interface LoadSink {

    /** Gives an event to the duty. */
    void offer(LoadEvent event);
}
