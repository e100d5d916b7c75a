package org.mangowall.router.decision;

import org.mangowall.policy.event.DecisionEvent;

/** Where the parts of a router put events for its decision core. */
public interface DecisionSink {

    /**
     * Offers an event that begins new work.
     *
     * @return false when the ring is nearly full; the work is then to be refused as not run
     */
    boolean offer(DecisionEvent event);

    /**
     * Puts an event that belongs to work under way. When the ring is full, it holds the calling thread until there is
     * room, which holds back the socket that the thread reads.
     */
    void post(DecisionEvent event);
}
