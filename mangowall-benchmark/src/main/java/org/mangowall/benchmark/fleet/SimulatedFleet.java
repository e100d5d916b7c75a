package org.mangowall.benchmark.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiPredicate;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.mangowall.inventory.Inventory;
import org.mangowall.inventory.Runner;
import org.mangowall.inventory.Service;
import org.mangowall.kernel.failure.RequestOutcome;
import org.mangowall.kernel.name.RequestIdentifier;
import org.mangowall.kernel.name.RouterName;
import org.mangowall.kernel.name.RunnerName;
import org.mangowall.kernel.name.ZoneName;
import org.mangowall.policy.DecisionCore;
import org.mangowall.policy.RequestDescription;
import org.mangowall.policy.RouterIdentity;
import org.mangowall.policy.RunnerOutcome;
import org.mangowall.policy.action.DecisionAction;
import org.mangowall.policy.core.FleetDecisionCore;
import org.mangowall.policy.core.PolicyTraits;
import org.mangowall.policy.event.DecisionEvent;
import org.mangowall.policy.fleet.FleetMember;
import org.mangowall.policy.fleet.FleetView;

/** Decision cores joined by messages with delays, in front of simulated runners. */
public final class SimulatedFleet {

    private static final long TICK_MICROSECONDS = 100_000;
    private static final long REPORT_MICROSECONDS = 500_000;
    private static final long REPORT_LAG_MICROSECONDS = 300_000;
    private static final long RUNNER_DELAY_MICROSECONDS = 300;
    private static final long FALL_PAUSE_MICROSECONDS = 2_000_000;
    private static final long PROGRESS_MICROSECONDS = 1_000_000;
    private static final long BREAK_MICROSECONDS = 1_000_000;
    private static final long WARM_UP_MICROSECONDS = 10_000_000;

    private final EventLine line = new EventLine();
    private final FleetTiming timing;
    private final PolicyTraits traits;
    private final UniformRandomProvider random;
    private final long seed;
    private final Map<RouterName, Router> routers = new LinkedHashMap<>();
    private final Map<RunnerName, SimulatedRunner> runners = new LinkedHashMap<>();
    private final Map<RequestIdentifier, RequestRecord> requests = new LinkedHashMap<>();
    private final Set<String> broken = new HashSet<>();
    private final Traffic traffic = new Traffic();
    private FleetListener listener = FleetListener.SILENT;
    private BiPredicate<RouterName, RouterName> lost = (from, to) -> false;
    private Inventory inventory;
    private long sequence;

    /** Makes a fleet whose routers all know each other and the inventory. */
    public SimulatedFleet(FleetShape shape, PolicyTraits traits, FleetTiming timing, long seed) {
        this.timing = timing;
        this.traits = traits;
        this.seed = seed;
        this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        this.inventory = shape.inventory(1, List.of());
        for (Runner runner : inventory.runners().values()) {
            int startLimit =
                    inventory.service(runner.service()).map(Service::startLimit).orElse(1);
            runners.put(runner.name(), new SimulatedRunner(runner, startLimit, WARM_UP_MICROSECONDS));
        }
        for (FleetMember member : shape.members()) {
            routers.put(member.name(), new Router(member, makeCore(member)));
        }
        line.every(REPORT_MICROSECONDS, this::reportLoads);
    }

    /** One router: where it stands and its core, or none while it is down. */
    private static final class Router {

        private FleetMember member;
        private DecisionCore core;

        private Router(FleetMember member, DecisionCore core) {
            this.member = member;
            this.core = core;
        }
    }

    private DecisionCore makeCore(FleetMember member) {
        RouterIdentity identity = new RouterIdentity(member.name(), member.incarnation(), member.zone());
        return new FleetDecisionCore(
                identity, line.clock(), seed + member.name().hashCode(), traits);
    }

    /** Gives all routers the view and the inventory, and starts their ticks. */
    public void start() {
        List<FleetMember> members =
                routers.values().stream().map(router -> router.member).toList();
        for (RouterName name : routers.keySet()) {
            tell(name, new DecisionEvent.ConfigurationChanged(inventory));
            tell(name, new DecisionEvent.FleetChanged(FleetView.of(members)));
            long phase = random.nextLong(TICK_MICROSECONDS);
            line.after(phase, () -> line.every(TICK_MICROSECONDS, () -> tell(name, new DecisionEvent.ClockTicked())));
        }
        reportLoads();
    }

    /** The line of events. */
    public EventLine line() {
        return line;
    }

    /** Sets who is told of all actions. */
    public void listen(FleetListener newListener) {
        listener = newListener;
    }

    /** Sets which messages between routers are lost. */
    public void lose(BiPredicate<RouterName, RouterName> which) {
        lost = which;
    }

    /** All requests that were ever sent. */
    public Collection<RequestRecord> requests() {
        return requests.values();
    }

    /** All runners. */
    public Collection<SimulatedRunner> runners() {
        return runners.values();
    }

    /** What went between routers. */
    public Traffic traffic() {
        return traffic;
    }

    /** The inventory in force. */
    public Inventory inventory() {
        return inventory;
    }

    /** The core of a router; null while it is down. */
    public DecisionCore core(RouterName name) {
        return routers.get(name).core;
    }

    /** The names of all routers. */
    public Collection<RouterName> routerNames() {
        return routers.keySet();
    }

    /** Tells one router an event and carries out what it orders. */
    public void tell(RouterName name, DecisionEvent event) {
        DecisionCore core = routers.get(name).core;
        if (core == null) {
            return;
        }
        traffic.countEvent();
        List<DecisionAction> actions = core.handle(event);
        for (DecisionAction action : actions) {
            listener.acted(name, action);
            carryOut(name, action);
        }
    }

    /** Spreads a new inventory, which each router gets a little later than the one before. */
    public void change(Inventory newInventory, long spreadMicroseconds) {
        inventory = newInventory;
        int position = 0;
        for (RouterName name : routers.keySet()) {
            long delay = spreadMicroseconds * position / routers.size();
            line.after(delay, () -> tell(name, new DecisionEvent.ConfigurationChanged(newInventory)));
            position++;
        }
    }

    /** Gives one router another view of the fleet. */
    public void changeView(RouterName name, Collection<FleetMember> members) {
        tell(name, new DecisionEvent.FleetChanged(FleetView.of(members)));
    }

    /** The members as they are, for views. */
    public List<FleetMember> members() {
        return routers.values().stream().map(router -> router.member).toList();
    }

    /** Ends a router at once; what ran for it at runners goes on there but nobody hears of it. */
    public void crash(RouterName name) {
        routers.get(name).core = null;
    }

    /** Starts a router with empty state and the next incarnation. */
    public void restart(RouterName name) {
        Router router = routers.get(name);
        FleetMember old = router.member;
        router.member = new FleetMember(
                old.name(),
                old.incarnation() + 1,
                old.zone(),
                old.host(),
                old.callerPort(),
                old.peerPort(),
                old.state());
        router.core = makeCore(router.member);
        tell(name, new DecisionEvent.ConfigurationChanged(inventory));
        tell(name, new DecisionEvent.FleetChanged(FleetView.of(members())));
    }

    /** A caller sends a request to its entry. */
    public RequestIdentifier send(RouterName entry, RequestDescription template, double cost) {
        sequence++;
        RequestIdentifier identifier =
                new RequestIdentifier(entry, routers.get(entry).member.incarnation(), sequence);
        RequestDescription description = new RequestDescription(
                identifier,
                template.workspace(),
                template.service(),
                template.repeatable(),
                template.costHint(),
                template.prefixHash(),
                template.waited(),
                0);
        RequestRecord request = new RequestRecord(description, cost, line.now());
        requests.put(identifier, request);
        listener.sent(request);
        tell(entry, new DecisionEvent.CallerArrived(description));
        return identifier;
    }

    /** The caller of a request goes away. */
    public void leave(RequestIdentifier identifier) {
        tell(identifier.entry(), new DecisionEvent.CallerDisconnected(identifier));
    }

    private void carryOut(RouterName self, DecisionAction action) {
        switch (action) {
            case DecisionAction.PassToHome pass ->
                message(self, pass.home(), new DecisionEvent.RequestPassed(pass.request()));
            case DecisionAction.SendToRunner send ->
                line.after(RUNNER_DELAY_MICROSECONDS, () -> begin(self, send.request(), runners.get(send.runner())));
            case DecisionAction.RefuseRequest refusal ->
                endAtCaller(self, refusal.request(), refusal.code().outcome() == RequestOutcome.NOT_RUN);
            case DecisionAction.ReleaseToEntry release ->
                message(
                        self,
                        release.request().identifier().entry(),
                        new DecisionEvent.RequestReleased(
                                release.request().identifier(),
                                self,
                                release.reason(),
                                release.request(),
                                release.moveTo()));
            case DecisionAction.CancelAtHome cancel ->
                message(self, cancel.home(), new DecisionEvent.RequestCancelled(cancel.request()));
            case DecisionAction.CancelAtRunner cancel ->
                cancelWork(self, cancel.request(), runners.get(cancel.runner()));
            case DecisionAction.SendExchange exchange -> {
                traffic.countExchange(self, exchange.exchange());
                message(self, exchange.to(), new DecisionEvent.ExchangeReceived(exchange.exchange()));
            }
            case DecisionAction.SendPull pull -> {
                traffic.countPull(pull.service(), pull.slots(), pull.belowTag());
                message(
                        self,
                        pull.to(),
                        new DecisionEvent.PullReceived(self, pull.service(), pull.slots(), pull.belowTag()));
            }
            case DecisionAction.RequestCounters ask ->
                message(self, ask.to(), new DecisionEvent.CountersRequested(self));
            case DecisionAction.SendCounters counters ->
                message(self, counters.to(), new DecisionEvent.CountersReceived(counters.snapshot()));
        }
    }

    private void message(RouterName from, RouterName to, DecisionEvent event) {
        if (lost.test(from, to) || routers.get(to).core == null) {
            breakConnection(from, to);
            return;
        }
        long incarnation = routers.get(to).member.incarnation();
        line.after(delay(from, to), () -> {
            if (routers.get(to).member.incarnation() == incarnation) {
                tell(to, event);
            }
        });
    }

    /** Both ends of a connection that loses a message find out a little later. */
    private void breakConnection(RouterName from, RouterName to) {
        long fromIncarnation = routers.get(from).member.incarnation();
        long toIncarnation = routers.get(to).member.incarnation();
        String connection = from + "~" + fromIncarnation + " " + to + "~" + toIncarnation;
        if (!broken.add(connection)) {
            return;
        }
        line.after(BREAK_MICROSECONDS, () -> {
            broken.remove(connection);
            if (isAlive(from, fromIncarnation)) {
                tell(from, new DecisionEvent.PeerLost(to, toIncarnation));
            }
            if (isAlive(to, toIncarnation)) {
                tell(to, new DecisionEvent.PeerLost(from, fromIncarnation));
            }
        });
    }

    private long delay(RouterName from, RouterName to) {
        return timing.between(
                routers.get(from).member.zone(), routers.get(to).member.zone(), random);
    }

    private void begin(RouterName home, RequestDescription description, SimulatedRunner runner) {
        if (routers.get(home).core == null) {
            return;
        }
        RequestIdentifier identifier = description.identifier();
        if (runner.isDown(line.now())) {
            tell(home, new DecisionEvent.AnswerEnded(identifier, RunnerOutcome.NOT_SENT, 0));
            return;
        }
        RequestRecord request = requests.get(identifier);
        request.start();
        long duration = timing.duration(request.cost());
        SimulatedRunner.Work work =
                new SimulatedRunner.Work(request, home, routers.get(home).member.incarnation(), line.now(), duration);
        if (runner.takeFallsOver(work, line.now())) {
            breakAll(runner, FALL_PAUSE_MICROSECONDS);
            return;
        }
        line.after(Math.min(duration, timing.firstProgress()), () -> progress(runner, work, true));
        line.after(duration, () -> complete(runner, work));
    }

    /** A runner stops with all that runs there, and comes back cold. */
    public void breakAll(SimulatedRunner runner, long pauseMicroseconds) {
        List<SimulatedRunner.Work> broken = new ArrayList<>(runner.working().values());
        runner.fall(line.now(), pauseMicroseconds);
        for (SimulatedRunner.Work work : broken) {
            work.request().stop();
            RequestIdentifier identifier = work.request().description().identifier();
            double cost = work.served(line.now());
            if (isAlive(work.home(), work.homeIncarnation())) {
                tell(work.home(), new DecisionEvent.AnswerEnded(identifier, RunnerOutcome.BROKEN, cost));
            }
        }
    }

    private static boolean isCurrent(SimulatedRunner runner, SimulatedRunner.Work work) {
        return runner.working().get(work.request().description().identifier()) == work;
    }

    private boolean isAlive(RouterName name, long incarnation) {
        Router router = routers.get(name);
        return router.core != null && router.member.incarnation() == incarnation;
    }

    private void progress(SimulatedRunner runner, SimulatedRunner.Work work, boolean first) {
        if (!isCurrent(runner, work) || !isAlive(work.home(), work.homeIncarnation())) {
            return;
        }
        RequestIdentifier identifier = work.request().description().identifier();
        if (first) {
            tell(work.home(), new DecisionEvent.AnswerBegan(identifier));
            line.after(
                    delay(work.home(), identifier.entry()),
                    () -> tell(identifier.entry(), new DecisionEvent.CallerAnswerBegan(identifier)));
        } else {
            tell(work.home(), new DecisionEvent.AnswerProgressed(identifier, work.served(line.now())));
        }
        line.after(PROGRESS_MICROSECONDS, () -> progress(runner, work, false));
    }

    private void complete(SimulatedRunner runner, SimulatedRunner.Work work) {
        if (!isCurrent(runner, work)) {
            return;
        }
        RequestRecord request = work.request();
        RequestIdentifier identifier = request.description().identifier();
        runner.complete(identifier);
        request.stop();
        listener.served(request);
        if (!isAlive(work.home(), work.homeIncarnation())) {
            return;
        }
        tell(work.home(), new DecisionEvent.AnswerEnded(identifier, RunnerOutcome.COMPLETED, request.cost()));
        endAtCaller(work.home(), identifier, false);
    }

    private void cancelWork(RouterName home, RequestIdentifier identifier, SimulatedRunner runner) {
        SimulatedRunner.Work work = runner.working().remove(identifier);
        double cost = work == null ? 0 : work.served(line.now());
        if (work != null) {
            work.request().stop();
        }
        line.after(
                RUNNER_DELAY_MICROSECONDS,
                () -> tell(home, new DecisionEvent.AnswerEnded(identifier, RunnerOutcome.CANCELLED, cost)));
    }

    private void endAtCaller(RouterName home, RequestIdentifier identifier, boolean notRun) {
        RouterName entry = identifier.entry();
        if (lost.test(home, entry) || routers.get(entry).core == null) {
            breakConnection(home, entry);
            return;
        }
        line.after(delay(home, entry), () -> {
            if (!isAlive(entry, identifier.incarnation())) {
                return;
            }
            RequestRecord request = requests.get(identifier);
            boolean late = request.ended() > 0 && !home.equals(entry);
            if (late) {
                return;
            }
            request.end(notRun);
            tell(entry, new DecisionEvent.CallerAnswerEnded(identifier));
            listener.ended(request);
        });
    }

    private void reportLoads() {
        for (SimulatedRunner runner : runners.values()) {
            if (runner.isDown(line.now())) {
                continue;
            }
            DecisionEvent report = new DecisionEvent.RunnerReported(runner.report());
            line.after(REPORT_LAG_MICROSECONDS, () -> spread(runner.runner().zone(), report));
        }
    }

    private void spread(ZoneName zone, DecisionEvent report) {
        boolean local = routers.values().stream()
                .anyMatch(router -> router.core != null && router.member.zone().equals(zone));
        for (Map.Entry<RouterName, Router> entry : routers.entrySet()) {
            if (!local || entry.getValue().member.zone().equals(zone)) {
                tell(entry.getKey(), report);
            }
        }
    }
}
