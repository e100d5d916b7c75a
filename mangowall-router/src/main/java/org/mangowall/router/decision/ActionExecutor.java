package org.mangowall.router.decision;

import org.mangowall.policy.action.DecisionAction;

/** Carries out what the decision core orders; always called on the decision duty's thread and never blocks. */
@FunctionalInterface
public interface ActionExecutor {

    /** Carries out one action. */
    void execute(DecisionAction action);
}
