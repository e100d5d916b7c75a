package org.mangowall.policy.plugin;

import java.time.Clock;

import org.mangowall.policy.DecisionCore;
import org.mangowall.policy.RouterIdentity;
import org.mangowall.policy.SchedulingPolicy;
import org.mangowall.policy.core.FleetDecisionCore;
import org.mangowall.policy.core.PolicyTraits;

/** Round robin over homes and runners, for comparison. */
public final class RoundRobinPolicy implements SchedulingPolicy {

    @Override
    public String pluginName() {
        return "round-robin";
    }

    @Override
    public DecisionCore create(RouterIdentity identity, Clock clock, long seed) {
        return new FleetDecisionCore(identity, clock, seed, PolicyTraits.roundRobin());
    }
}
