package org.mangowall.router.decision;

import org.mangowall.policy.action.DecisionAction;

/** Executes the actions of the decision core; called only on the decision thread and must not block. */
@FunctionalInterface
public interface ActionExecutor {

    /** Executes one action. */
    void execute(DecisionAction action);
}
