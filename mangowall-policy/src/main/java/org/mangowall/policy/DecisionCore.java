package org.mangowall.policy;

import java.util.List;

import org.mangowall.policy.action.DecisionAction;
import org.mangowall.policy.event.DecisionEvent;

/**
 * Makes the scheduling decisions of one router in its roles as entry for requests and home for runners.
 *
 * <p>It is a deterministic state machine: the same events at the same clock times yield the same actions. It is not
 * thread-safe.
 */
public interface DecisionCore {

    /**
     * Handles one event.
     *
     * @return the actions to execute, in this order; never null
     */
    List<DecisionAction> handle(DecisionEvent event);

    /** A snapshot of the current state for operators. */
    DecisionStatus status();
}
