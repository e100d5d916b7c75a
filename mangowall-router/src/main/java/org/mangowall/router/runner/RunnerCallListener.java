package org.mangowall.router.runner;

import org.mangowall.policy.RunnerOutcome;

/** Receives the events of one attempt at a runner; called on network threads. */
public interface RunnerCallListener {

    /** Called when the head of an answer other than a refusal has arrived. */
    void answerBegan();

    /** Called at intervals when the cost known so far has grown. */
    void costIncreased(double costSoFar);

    /** Called exactly once, when the attempt has ended. */
    void ended(RunnerOutcome outcome, double cost);
}
