package org.mangowall.edge.traffic;

import org.mangowall.edge.decision.LoadEvent;

/** Publishes load events of this host to the other hosts. */
@FunctionalInterface
public interface LoadEventPublisher {

    /** Queues an event for the next report to the other hosts. */
    void publish(LoadEvent event);
}
