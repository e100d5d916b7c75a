package org.mangowall.policy;

import java.time.Clock;

import org.mangowall.kernel.plugin.Plugin;

/** Plug-in that creates decision cores; settings select it by name. */
public interface SchedulingPolicy extends Plugin {

    /**
     * Creates the decision core of one router.
     *
     * @param identity the router
     * @param clock the clock used for all decisions
     * @param seed the seed of all random choices
     */
    DecisionCore create(RouterIdentity identity, Clock clock, long seed);
}
