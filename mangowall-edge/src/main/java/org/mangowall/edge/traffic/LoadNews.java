package org.mangowall.edge.traffic;

import org.mangowall.edge.decision.LoadEvent;

/** Takes this host's news for the other hosts. */
@FunctionalInterface
public interface LoadNews {

    /** Tells the other hosts soon. */
    void tell(LoadEvent event);
}
