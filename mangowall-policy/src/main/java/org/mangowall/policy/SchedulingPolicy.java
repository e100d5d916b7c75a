package org.mangowall.policy;

import java.time.Clock;

import org.mangowall.kernel.plugin.Plugin;

/** A way of scheduling: a plug-in that makes decision cores; settings choose it by name. */
public interface SchedulingPolicy extends Plugin {

    /**
     * Makes the decision core of one router.
     *
     * @param identity the router
     * @param clock the time by which it decides
     * @param seed the start of all its random choices
     */
    DecisionCore create(RouterIdentity identity, Clock clock, long seed);
}
