package org.mangowall.router.runner;

import org.mangowall.policy.RunnerOutcome;

/** What happens to a request at its runner; called on network threads. */
public interface RunnerCallListener {

    /** The answer began. */
    void began();

    /** More cost is known. */
    void progressed(double costSoFar);

    /** The try is over; called exactly once. */
    void ended(RunnerOutcome outcome, double cost);
}
