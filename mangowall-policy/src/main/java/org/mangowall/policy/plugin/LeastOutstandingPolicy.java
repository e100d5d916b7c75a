package org.mangowall.policy.plugin;

import java.time.Clock;

import org.mangowall.policy.DecisionCore;
import org.mangowall.policy.RouterIdentity;
import org.mangowall.policy.SchedulingPolicy;
import org.mangowall.policy.core.FleetDecisionCore;
import org.mangowall.policy.core.PolicyTraits;

/** Fewest outstanding requests per slot first, for comparison. */
public final class LeastOutstandingPolicy implements SchedulingPolicy {

    @Override
    public String pluginName() {
        return "least-outstanding";
    }

    @Override
    public DecisionCore create(RouterIdentity identity, Clock clock, long seed) {
        return new FleetDecisionCore(identity, clock, seed, PolicyTraits.leastOutstanding());
    }
}
