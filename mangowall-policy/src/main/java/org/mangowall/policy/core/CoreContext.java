package org.mangowall.policy.core;

import java.time.Clock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.mangowall.inventory.Inventory;
import org.mangowall.kernel.failure.FailureCode;
import org.mangowall.kernel.failure.RequestOutcome;
import org.mangowall.kernel.name.RouterName;
import org.mangowall.kernel.name.WorkspaceName;
import org.mangowall.kernel.name.ZoneName;
import org.mangowall.policy.RequestDescription;
import org.mangowall.policy.RouterIdentity;
import org.mangowall.policy.action.DecisionAction;
import org.mangowall.policy.fleet.FleetMember;
import org.mangowall.policy.fleet.FleetView;
import org.mangowall.policy.fleet.MemberState;

/** State shared by the roles of one decision core: clock, inventory, fleet, home assignment and pending actions. */
final class CoreContext {

    private static final long TAKEOVER_DELAY_MILLISECONDS = 15_000;
    private static final long ZONE_UNCERTAINTY_MILLISECONDS = 60_000;
    private static final double DEFAULT_WEIGHT = 1;

    private final RouterIdentity identity;
    private final Clock clock;
    private final PolicyTraits traits;
    private final UniformRandomProvider random;
    private List<DecisionAction> actions = new ArrayList<>();
    private Inventory inventory = Inventory.builder(0).build();
    private FleetView view = FleetView.of(List.of());
    private HomeAssignment assignment;
    private final Map<RouterName, Long> deadSinceMillis = new TreeMap<>();
    private long takeoverAtMillis = Long.MAX_VALUE;
    private boolean leaving;

    CoreContext(RouterIdentity identity, Clock clock, long seed, PolicyTraits traits) {
        this.identity = identity;
        this.clock = clock;
        this.traits = traits;
        this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        computeAssignment();
    }

    RouterName self() {
        return identity.name();
    }

    RouterIdentity identity() {
        return identity;
    }

    PolicyTraits traits() {
        return traits;
    }

    UniformRandomProvider random() {
        return random;
    }

    long now() {
        return clock.millis();
    }

    Inventory inventory() {
        return inventory;
    }

    FleetView view() {
        return view;
    }

    HomeAssignment assignment() {
        return assignment;
    }

    boolean isLeaving() {
        return leaving;
    }

    double weight(WorkspaceName workspace) {
        return inventory.workspace(workspace).map(found -> found.weight()).orElse(DEFAULT_WEIGHT);
    }

    void addAction(DecisionAction action) {
        actions.add(action);
    }

    List<DecisionAction> takeActions() {
        List<DecisionAction> taken = actions;
        actions = new ArrayList<>();
        return taken;
    }

    void install(Inventory newInventory) {
        inventory = newInventory;
        computeAssignment();
    }

    void install(FleetView newView) {
        view = newView;
        long now = now();
        deadSinceMillis.keySet().removeIf(router -> !isDead(router));
        for (FleetMember member : view.members().values()) {
            if (isDead(member.name()) && !member.name().equals(identity.name())) {
                deadSinceMillis.putIfAbsent(member.name(), now);
            }
        }
        computeAssignment();
    }

    void leave() {
        leaving = true;
        computeAssignment();
    }

    private boolean isDead(RouterName router) {
        return view.member(router)
                .map(member -> member.state() == MemberState.DEAD)
                .orElse(false);
    }

    /** Whether a router of the zone was declared dead recently and may still act as home of its runners. */
    boolean isZoneUncertain(ZoneName zone) {
        if (deadSinceMillis.isEmpty()) {
            return false;
        }
        long cutoff = now() - ZONE_UNCERTAINTY_MILLISECONDS;
        for (Map.Entry<RouterName, Long> entry : deadSinceMillis.entrySet()) {
            boolean recent = entry.getValue() > cutoff;
            if (recent && view.member(entry.getKey()).orElseThrow().zone().equals(zone)) {
                return true;
            }
        }
        return false;
    }

    /** Refuses a request; if it may have run, a code that says it did not run is replaced. */
    void refuse(RequestDescription request, FailureCode code, Duration retryAfter) {
        boolean claimsNotRun = request.mayHaveRun() && code.outcome() == RequestOutcome.NOT_RUN;
        FailureCode reportedCode = claimsNotRun ? FailureCode.RUNNER_CONNECTION_LOST : code;
        addAction(new DecisionAction.RefuseRequest(request.identifier(), reportedCode, retryAfter));
    }

    private void computeAssignment() {
        Collection<RouterName> unreachable = isMinority() ? deadSinceMillis.keySet() : List.of();
        assignment = HomeAssignment.compute(inventory, view, identity, leaving, unreachable);
        takeoverAtMillis = unreachable.isEmpty()
                ? Long.MAX_VALUE
                : Collections.max(deadSinceMillis.values()) + TAKEOVER_DELAY_MILLISECONDS;
    }

    /** Whether most other routers were declared dead recently, so that this router is probably partitioned itself. */
    private boolean isMinority() {
        long cutoff = now() - TAKEOVER_DELAY_MILLISECONDS;
        long recentlyDead = deadSinceMillis.values().stream()
                .filter(since -> since > cutoff)
                .count();
        long visible = view.members().values().stream()
                .filter(member -> member.mayBeHome() && !member.name().equals(identity.name()))
                .count();
        return recentlyDead > visible + 1;
    }

    /** Recomputes the assignment once the takeover delay of unreachable routers is over; returns whether it did. */
    boolean reassignAfterTakeoverDelay() {
        if (now() < takeoverAtMillis) {
            return false;
        }
        computeAssignment();
        return true;
    }
}
