package org.mangowall.policy.plugin;

import java.time.Clock;

import org.mangowall.policy.DecisionCore;
import org.mangowall.policy.RouterIdentity;
import org.mangowall.policy.SchedulingPolicy;
import org.mangowall.policy.core.FleetDecisionCore;
import org.mangowall.policy.core.PolicyTraits;

/** Fair queueing across the whole fleet: the default policy. */
public final class FairPolicy implements SchedulingPolicy {

    @Override
    public String pluginName() {
        return "fair";
    }

    @Override
    public DecisionCore create(RouterIdentity identity, Clock clock, long seed) {
        return new FleetDecisionCore(identity, clock, seed, PolicyTraits.fair());
    }
}
