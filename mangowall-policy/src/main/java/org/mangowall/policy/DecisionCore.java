package org.mangowall.policy;

import java.util.List;

import org.mangowall.policy.action.DecisionAction;
import org.mangowall.policy.event.DecisionEvent;

/**
 * The decisions of one router, in its roles as entry of requests and as home of runners.
 *
 * <p>It is a pure state machine: the same events at the same instants of its clock give the same actions. It is
 * confined to one thread.
 */
public interface DecisionCore {

    /**
     * Takes one event.
     *
     * @return the actions to carry out, in this order; never null
     */
    List<DecisionAction> handle(DecisionEvent event);

    /** What operators may see of the present state. */
    DecisionStatus status();
}
