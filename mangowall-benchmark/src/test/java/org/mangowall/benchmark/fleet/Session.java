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

/** A small fleet with scripted failures. */
final class Session {

    private static final long MICROSECONDS_PER_MILLISECOND = 1_000;
    private static final double MEAN_COST = 50;
    private static final double SPREAD = 0.7;

    private final FleetShape shape;
    private final SimulatedFleet fleet;
    private final ClosedLoopCallers callers;
    private final Transcript transcript;

    Session(FleetShape shape, long seed) {
        this.shape = shape;
        this.fleet = new SimulatedFleet(
                shape,
                PolicyTraits.fair().withExchangePeriod(PolicyTraits.EXCHANGE_PERIOD),
                FleetTiming.modelCalls(),
                seed);
        this.callers = new ClosedLoopCallers(fleet, shape, MEAN_COST, SPREAD, seed);
        this.transcript = new Transcript(fleet, callers);
        fleet.listen(transcript);
    }

    /** Three routers in three zones, three runners of four slots, four workspaces with weights 1 to 4. */
    static Session small(long seed) {
        return new Session(new FleetShape(3, 3, 1, 3, 4, 4, 8), seed);
    }

    FleetShape shape() {
        return shape;
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

    Session run(long milliseconds) {
        fleet.line().runUntil(fleet.line().now() + milliseconds * MICROSECONDS_PER_MILLISECOND);
        return this;
    }

    void closeZone(int index) {
        transcript.note("operators close " + shape.zone(index));
        change(List.of(shape.zone(index)));
    }

    void openZones() {
        transcript.note("operators open all zones");
        change(List.of());
    }

    private void change(List<ZoneName> closed) {
        fleet.change(shape.inventory(fleet.inventory().version() + 1, closed), 500 * MICROSECONDS_PER_MILLISECOND);
    }

    /** A router crashes; the others find out a second later. */
    void crash(int index) {
        RouterName lost = shape.router(index);
        transcript.note(lost + " crashes");
        long incarnation = incarnation(lost);
        fleet.crash(lost);
        fleet.line().after(1000 * MICROSECONDS_PER_MILLISECOND, () -> {
            if (fleet.core(lost) != null) {
                return;
            }
            for (RouterName name : fleet.routerNames()) {
                fleet.tell(name, new DecisionEvent.PeerLost(lost, incarnation));
            }
            showDead(lost::equals, name -> true);
        });
    }

    /** A router that crashed comes back empty; the others are told. */
    void restart(int index) {
        RouterName name = shape.router(index);
        transcript.note(name + " restarts");
        long incarnation = incarnation(name);
        fleet.restart(name);
        for (RouterName other : fleet.routerNames()) {
            if (!other.equals(name)) {
                fleet.tell(other, new DecisionEvent.PeerLost(name, incarnation));
            }
        }
        showDead(member -> fleet.core(member) == null, other -> true);
    }

    /** Cuts one router off from all others; both sides find out a second later. */
    void cutOff(int index) {
        RouterName cut = shape.router(index);
        transcript.note(cut + " is cut off");
        fleet.lose((from, to) -> from.equals(cut) != to.equals(cut));
        fleet.line().after(1000 * MICROSECONDS_PER_MILLISECOND, () -> {
            for (RouterName name : fleet.routerNames()) {
                if (!name.equals(cut)) {
                    fleet.tell(name, new DecisionEvent.PeerLost(cut, incarnation(cut)));
                    fleet.tell(cut, new DecisionEvent.PeerLost(name, incarnation(name)));
                }
            }
            showDead(cut::equals, name -> !name.equals(cut));
            showDead(member -> !member.equals(cut), cut::equals);
        });
    }

    void heal() {
        transcript.note("the partition ends");
        fleet.lose((from, to) -> false);
        showDead(member -> fleet.core(member) == null, name -> true);
    }

    private long incarnation(RouterName name) {
        return fleet.members().stream()
                .filter(member -> member.name().equals(name))
                .findFirst()
                .orElseThrow()
                .incarnation();
    }

    private void showDead(Predicate<RouterName> dead, Predicate<RouterName> viewers) {
        List<FleetMember> members = new ArrayList<>();
        for (FleetMember member : fleet.members()) {
            members.add(dead.test(member.name()) ? member.withState(MemberState.DEAD) : member);
        }
        for (RouterName viewer : fleet.routerNames()) {
            if (viewers.test(viewer)) {
                fleet.tell(viewer, new DecisionEvent.FleetChanged(FleetView.of(members)));
            }
        }
    }
}
