package org.mangowall.benchmark.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

import org.mangowall.kernel.name.RouterName;
import org.mangowall.kernel.name.ZoneName;
import org.mangowall.policy.core.PolicyTraits;
import org.mangowall.policy.event.DecisionEvent;
import org.mangowall.policy.fleet.FleetMember;
import org.mangowall.policy.fleet.FleetView;
import org.mangowall.policy.fleet.MemberState;

/** A simulated fleet with callers, a transcript and faults to inject. */
final class SimulationScenario {

    private static final long MICROSECONDS_PER_MILLISECOND = 1_000;
    private static final double MEAN_COST = 50;
    private static final double COST_SPREAD = 0.7;

    private final FleetLayout layout;
    private final SimulatedFleet fleet;
    private final ClosedLoopCallers callers;
    private final Transcript transcript;

    SimulationScenario(FleetLayout layout, long seed) {
        this.layout = layout;
        this.fleet = new SimulatedFleet(
                layout,
                PolicyTraits.fair().withExchangePeriod(PolicyTraits.EXCHANGE_PERIOD),
                FleetTiming.modelCalls(),
                seed);
        this.callers = new ClosedLoopCallers(fleet, layout, MEAN_COST, COST_SPREAD, seed);
        this.transcript = new Transcript(fleet, callers);
        fleet.setListener(transcript);
    }

    /** Creates a scenario of 3 zones, 3 routers, 3 runners with 4 slots, and 4 workspaces with weights 1 to 4. */
    static SimulationScenario small(long seed) {
        return new SimulationScenario(new FleetLayout(3, 3, 1, 3, 4, 4, 8), seed);
    }

    FleetLayout layout() {
        return layout;
    }

    SimulatedFleet fleet() {
        return fleet;
    }

    ClosedLoopCallers callers() {
        return callers;
    }

    Transcript transcript() {
        return transcript;
    }

    SimulationScenario run(long milliseconds) {
        fleet.scheduler().runUntil(fleet.scheduler().now() + milliseconds * MICROSECONDS_PER_MILLISECOND);
        return this;
    }

    void closeZone(int index) {
        transcript.note("operators close " + layout.zone(index));
        distributeInventory(List.of(layout.zone(index)));
    }

    void openZones() {
        transcript.note("operators open all zones");
        distributeInventory(List.of());
    }

    private void distributeInventory(List<ZoneName> closed) {
        fleet.changeInventory(
                layout.inventory(fleet.inventory().version() + 1, closed), 500 * MICROSECONDS_PER_MILLISECOND);
    }

    /** Crashes a router; the others detect it after one second. */
    void crash(int index) {
        RouterName crashed = layout.router(index);
        transcript.note(crashed + " crashes");
        long incarnation = incarnation(crashed);
        fleet.crash(crashed);
        fleet.scheduler().after(1000 * MICROSECONDS_PER_MILLISECOND, () -> {
            if (fleet.core(crashed) != null) {
                return;
            }
            for (RouterName name : fleet.routerNames()) {
                fleet.deliver(name, new DecisionEvent.PeerLost(crashed, incarnation));
            }
            publishDeadMembers(crashed::equals, name -> true);
        });
    }

    /** Restarts a crashed router with empty state and informs the others. */
    void restart(int index) {
        RouterName name = layout.router(index);
        transcript.note(name + " restarts");
        long incarnation = incarnation(name);
        fleet.restart(name);
        for (RouterName other : fleet.routerNames()) {
            if (!other.equals(name)) {
                fleet.deliver(other, new DecisionEvent.PeerLost(name, incarnation));
            }
        }
        publishDeadMembers(member -> fleet.core(member) == null, other -> true);
    }

    /** Partitions one router from all others; both sides detect it after one second. */
    void isolate(int index) {
        RouterName isolated = layout.router(index);
        transcript.note(isolated + " is partitioned from the others");
        fleet.dropMessages((from, to) -> from.equals(isolated) != to.equals(isolated));
        fleet.scheduler().after(1000 * MICROSECONDS_PER_MILLISECOND, () -> {
            for (RouterName name : fleet.routerNames()) {
                if (!name.equals(isolated)) {
                    fleet.deliver(name, new DecisionEvent.PeerLost(isolated, incarnation(isolated)));
                    fleet.deliver(isolated, new DecisionEvent.PeerLost(name, incarnation(name)));
                }
            }
            publishDeadMembers(isolated::equals, name -> !name.equals(isolated));
            publishDeadMembers(member -> !member.equals(isolated), isolated::equals);
        });
    }

    void endPartition() {
        transcript.note("the partition ends");
        fleet.dropMessages((from, to) -> false);
        publishDeadMembers(member -> fleet.core(member) == null, name -> true);
    }

    private long incarnation(RouterName name) {
        return fleet.members().stream()
                .filter(member -> member.name().equals(name))
                .findFirst()
                .orElseThrow()
                .incarnation();
    }

    private void publishDeadMembers(Predicate<RouterName> isDead, Predicate<RouterName> isViewer) {
        List<FleetMember> members = new ArrayList<>();
        for (FleetMember member : fleet.members()) {
            members.add(isDead.test(member.name()) ? member.withState(MemberState.DEAD) : member);
        }
        for (RouterName viewer : fleet.routerNames()) {
            if (isViewer.test(viewer)) {
                fleet.deliver(viewer, new DecisionEvent.FleetChanged(FleetView.of(members)));
            }
        }
    }
}
