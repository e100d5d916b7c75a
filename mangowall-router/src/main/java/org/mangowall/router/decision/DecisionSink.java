package org.mangowall.router.decision;

import org.mangowall.policy.event.DecisionEvent;

/** Accepts events for the decision core of a router, which takes them from a ring buffer. */
public interface DecisionSink {

    /**
     * Offers an event that starts new work, without blocking.
     *
     * @return false when the ring buffer is nearly full; the caller must then refuse the work as not run
     */
    boolean offer(DecisionEvent event);

    /**
     * Adds an event of work in progress. While the ring buffer is full it blocks the calling thread, which applies
     * back-pressure to the sockets that this thread reads.
     */
    void post(DecisionEvent event);
}
