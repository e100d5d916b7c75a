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

/** What all roles of one decision core know and use together. */
final class CoreContext {

    private static final long MINORITY_MILLISECONDS = 15_000;
    private static final long UNCERTAIN_MILLISECONDS = 60_000;
    private static final double WEIGHT_OF_UNKNOWN = 1;

    private final RouterIdentity identity;
    private final Clock clock;
    private final PolicyTraits traits;
    private final UniformRandomProvider random;
    private List<DecisionAction> actions = new ArrayList<>();
    private Inventory inventory = Inventory.builder(0).build();
    private FleetView view = FleetView.of(List.of());
    private HomeAssignment assignment;
    private final Map<RouterName, Long> lostSince = new TreeMap<>();
    private long takeOverAt = Long.MAX_VALUE;
    private boolean leaving;

    CoreContext(RouterIdentity identity, Clock clock, long seed, PolicyTraits traits) {
        this.identity = identity;
        this.clock = clock;
        this.traits = traits;
        this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        assign();
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
        return inventory.workspace(workspace).map(found -> found.weight()).orElse(WEIGHT_OF_UNKNOWN);
    }

    void act(DecisionAction action) {
        actions.add(action);
    }

    List<DecisionAction> takeActions() {
        List<DecisionAction> taken = actions;
        actions = new ArrayList<>();
        return taken;
    }

    void install(Inventory newInventory) {
        inventory = newInventory;
        assign();
    }

    void install(FleetView newView) {
        view = newView;
        long now = now();
        lostSince.keySet().removeIf(router -> !isDead(router));
        for (FleetMember member : view.members().values()) {
            if (isDead(member.name()) && !member.name().equals(identity.name())) {
                lostSince.putIfAbsent(member.name(), now);
            }
        }
        assign();
    }

    void leave() {
        leaving = true;
        assign();
    }

    private boolean isDead(RouterName router) {
        return view.member(router)
                .map(member -> member.state() == MemberState.DEAD)
                .orElse(false);
    }

    /** Whether a router of the zone is out of sight and may yet be at work as home of its runners. */
    boolean isZoneUncertain(ZoneName zone) {
        if (lostSince.isEmpty()) {
            return false;
        }
        long horizon = now() - UNCERTAIN_MILLISECONDS;
        for (Map.Entry<RouterName, Long> entry : lostSince.entrySet()) {
            boolean recent = entry.getValue() > horizon;
            if (recent && view.member(entry.getKey()).orElseThrow().zone().equals(zone)) {
                return true;
            }
        }
        return false;
    }

    /** Refuses a request; one that may have run is never said not to have run. */
    void refuse(RequestDescription request, FailureCode code, Duration retryAfter) {
        boolean denies = request.mayHaveRun() && code.outcome() == RequestOutcome.NOT_RUN;
        FailureCode honest = denies ? FailureCode.RUNNER_CONNECTION_LOST : code;
        act(new DecisionAction.RefuseRequest(request.identifier(), honest, retryAfter));
    }

    private void assign() {
        Collection<RouterName> unreachable = isMinority() ? lostSince.keySet() : List.of();
        assignment = HomeAssignment.compute(inventory, view, identity, leaving, unreachable);
        takeOverAt =
                unreachable.isEmpty() ? Long.MAX_VALUE : Collections.max(lostSince.values()) + MINORITY_MILLISECONDS;
    }

    /** Whether this router has lost sight of most others a short while ago, and so is probably cut off itself. */
    private boolean isMinority() {
        long horizon = now() - MINORITY_MILLISECONDS;
        long lostLately =
                lostSince.values().stream().filter(since -> since > horizon).count();
        long visible = view.members().values().stream()
                .filter(member -> member.mayBeHome() && !member.name().equals(identity.name()))
                .count();
        return lostLately > visible + 1;
    }

    /** Assigns anew when the time has come to take over from routers that stay out of sight. */
    boolean assignAfterWait() {
        if (now() < takeOverAt) {
            return false;
        }
        assign();
        return true;
    }
}
