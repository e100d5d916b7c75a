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

/** Simulates routers as decision cores that exchange delayed messages, with simulated runners behind them. */
public final class SimulatedFleet {

    private static final long TICK_PERIOD_MICROSECONDS = 100_000;
    private static final long REPORT_PERIOD_MICROSECONDS = 500_000;
    private static final long REPORT_DELAY_MICROSECONDS = 300_000;
    private static final long RUNNER_DELAY_MICROSECONDS = 300;
    private static final long CRASH_PAUSE_MICROSECONDS = 2_000_000;
    private static final long PROGRESS_PERIOD_MICROSECONDS = 1_000_000;
    private static final long DISCONNECT_DETECTION_MICROSECONDS = 1_000_000;
    private static final long WARM_UP_MICROSECONDS = 10_000_000;

    private final EventScheduler scheduler = new EventScheduler();
    private final FleetTiming timing;
    private final PolicyTraits traits;
    private final UniformRandomProvider random;
    private final long seed;
    private final Map<RouterName, Router> routers = new LinkedHashMap<>();
    private final Map<RunnerName, SimulatedRunner> runners = new LinkedHashMap<>();
    private final Map<RequestIdentifier, RequestRecord> requests = new LinkedHashMap<>();
    private final Set<String> brokenConnections = new HashSet<>();
    private final PeerTraffic traffic = new PeerTraffic();
    private FleetListener listener = FleetListener.NO_OP;
    private BiPredicate<RouterName, RouterName> dropFilter = (from, to) -> false;
    private Inventory inventory;
    private long sequence;

    /** Creates a fleet of running routers; {@link #start} gives them the fleet view and the inventory. */
    public SimulatedFleet(FleetLayout layout, PolicyTraits traits, FleetTiming timing, long seed) {
        this.timing = timing;
        this.traits = traits;
        this.seed = seed;
        this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        this.inventory = layout.inventory(1, List.of());
        for (Runner runner : inventory.runners().values()) {
            int startLimit =
                    inventory.service(runner.service()).map(Service::startLimit).orElse(1);
            runners.put(runner.name(), new SimulatedRunner(runner, startLimit, WARM_UP_MICROSECONDS));
        }
        for (FleetMember member : layout.members()) {
            routers.put(member.name(), new Router(member, createCore(member)));
        }
        scheduler.every(REPORT_PERIOD_MICROSECONDS, this::reportLoads);
    }

    /** A router: its fleet member, and its core, which is null while the router is down. */
    private static final class Router {

        private FleetMember member;
        private DecisionCore core;

        private Router(FleetMember member, DecisionCore core) {
            this.member = member;
            this.core = core;
        }
    }

    private DecisionCore createCore(FleetMember member) {
        RouterIdentity identity = new RouterIdentity(member.name(), member.incarnation(), member.zone());
        return new FleetDecisionCore(
                identity, scheduler.clock(), seed + member.name().hashCode(), traits);
    }

    /** Gives all routers the fleet view and the inventory, and starts their ticks. */
    public void start() {
        List<FleetMember> members =
                routers.values().stream().map(router -> router.member).toList();
        for (RouterName name : routers.keySet()) {
            deliver(name, new DecisionEvent.ConfigurationChanged(inventory));
            deliver(name, new DecisionEvent.FleetChanged(FleetView.of(members)));
            long phase = random.nextLong(TICK_PERIOD_MICROSECONDS);
            scheduler.after(
                    phase,
                    () -> scheduler.every(
                            TICK_PERIOD_MICROSECONDS, () -> deliver(name, new DecisionEvent.ClockTicked())));
        }
        reportLoads();
    }

    /** Returns the scheduler of simulated events. */
    public EventScheduler scheduler() {
        return scheduler;
    }

    /** Sets the listener for all events of the fleet, replacing the previous one. */
    public void setListener(FleetListener newListener) {
        listener = newListener;
    }

    /** Sets which messages are dropped, by sender and receiver. */
    public void dropMessages(BiPredicate<RouterName, RouterName> newDropFilter) {
        dropFilter = newDropFilter;
    }

    /** Returns all requests that callers have sent since the start. */
    public Collection<RequestRecord> requests() {
        return requests.values();
    }

    /** Returns all runners. */
    public Collection<SimulatedRunner> runners() {
        return runners.values();
    }

    /** Returns the message counts between routers. */
    public PeerTraffic traffic() {
        return traffic;
    }

    /** Returns the newest inventory. */
    public Inventory inventory() {
        return inventory;
    }

    /** Returns the decision core of a router; null while the router is down. */
    public DecisionCore core(RouterName name) {
        return routers.get(name).core;
    }

    /** Returns the names of all routers. */
    public Collection<RouterName> routerNames() {
        return routers.keySet();
    }

    /** Delivers an event to a router and executes the resulting actions; does nothing while the router is down. */
    public void deliver(RouterName name, DecisionEvent event) {
        DecisionCore core = routers.get(name).core;
        if (core == null) {
            return;
        }
        traffic.countEvent();
        List<DecisionAction> actions = core.handle(event);
        for (DecisionAction action : actions) {
            listener.actionDecided(name, action);
            execute(name, action);
        }
    }

    /** Distributes a new inventory to the routers one after the other, within the given time. */
    public void changeInventory(Inventory newInventory, long spreadMicroseconds) {
        inventory = newInventory;
        int position = 0;
        for (RouterName name : routers.keySet()) {
            long delay = spreadMicroseconds * position / routers.size();
            scheduler.after(delay, () -> deliver(name, new DecisionEvent.ConfigurationChanged(newInventory)));
            position++;
        }
    }

    /** Replaces the fleet view of one router. */
    public void changeView(RouterName name, Collection<FleetMember> members) {
        deliver(name, new DecisionEvent.FleetChanged(FleetView.of(members)));
    }

    /** Returns the fleet members with their current incarnations. */
    public List<FleetMember> members() {
        return routers.values().stream().map(router -> router.member).toList();
    }

    /** Crashes a router; its requests keep running at the runners, but their results reach nobody. */
    public void crash(RouterName name) {
        routers.get(name).core = null;
    }

    /** Restarts a router with empty state and the next incarnation. */
    public void restart(RouterName name) {
        Router router = routers.get(name);
        FleetMember previous = router.member;
        router.member = new FleetMember(
                previous.name(),
                previous.incarnation() + 1,
                previous.zone(),
                previous.host(),
                previous.callerPort(),
                previous.peerPort(),
                previous.state());
        router.core = createCore(router.member);
        deliver(name, new DecisionEvent.ConfigurationChanged(inventory));
        deliver(name, new DecisionEvent.FleetChanged(FleetView.of(members())));
    }

    /** Sends a request of a caller to its entry router. */
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
        RequestRecord request = new RequestRecord(description, cost, scheduler.now());
        requests.put(identifier, request);
        listener.sent(request);
        deliver(entry, new DecisionEvent.CallerArrived(description));
        return identifier;
    }

    /** Disconnects the caller of a request. */
    public void disconnectCaller(RequestIdentifier identifier) {
        deliver(identifier.entry(), new DecisionEvent.CallerDisconnected(identifier));
    }

    private void execute(RouterName self, DecisionAction action) {
        switch (action) {
            case DecisionAction.PassToHome pass ->
                sendMessage(self, pass.home(), new DecisionEvent.RequestPassed(pass.request()));
            case DecisionAction.SendToRunner send ->
                scheduler.after(
                        RUNNER_DELAY_MICROSECONDS,
                        () -> startAtRunner(self, send.request(), runners.get(send.runner())));
            case DecisionAction.RefuseRequest refusal ->
                endAtCaller(self, refusal.request(), refusal.code().outcome() == RequestOutcome.NOT_RUN);
            case DecisionAction.ReleaseToEntry release ->
                sendMessage(
                        self,
                        release.request().identifier().entry(),
                        new DecisionEvent.RequestReleased(
                                release.request().identifier(),
                                self,
                                release.reason(),
                                release.request(),
                                release.moveTo()));
            case DecisionAction.CancelAtHome cancel ->
                sendMessage(self, cancel.home(), new DecisionEvent.RequestCancelled(cancel.request()));
            case DecisionAction.CancelAtRunner cancel ->
                cancelWork(self, cancel.request(), runners.get(cancel.runner()));
            case DecisionAction.SendExchange exchange -> {
                traffic.countExchange(self, exchange.exchange());
                sendMessage(self, exchange.to(), new DecisionEvent.ExchangeReceived(exchange.exchange()));
            }
            case DecisionAction.SendPull pull -> {
                traffic.countPull(pull.service(), pull.slots(), pull.belowVirtualTime());
                sendMessage(
                        self,
                        pull.to(),
                        new DecisionEvent.PullReceived(self, pull.service(), pull.slots(), pull.belowVirtualTime()));
            }
            case DecisionAction.RequestCounters request ->
                sendMessage(self, request.to(), new DecisionEvent.CountersRequested(self));
            case DecisionAction.SendCounters counters ->
                sendMessage(self, counters.to(), new DecisionEvent.CountersReceived(counters.snapshot()));
        }
    }

    private void sendMessage(RouterName from, RouterName to, DecisionEvent event) {
        if (dropFilter.test(from, to) || routers.get(to).core == null) {
            breakConnection(from, to);
            return;
        }
        long incarnation = routers.get(to).member.incarnation();
        scheduler.after(delay(from, to), () -> {
            if (routers.get(to).member.incarnation() == incarnation) {
                deliver(to, event);
            }
        });
    }

    /** Breaks a connection that lost a message; both ends detect it after a delay. */
    private void breakConnection(RouterName from, RouterName to) {
        long fromIncarnation = routers.get(from).member.incarnation();
        long toIncarnation = routers.get(to).member.incarnation();
        String connection = from + "~" + fromIncarnation + " " + to + "~" + toIncarnation;
        if (!brokenConnections.add(connection)) {
            return;
        }
        scheduler.after(DISCONNECT_DETECTION_MICROSECONDS, () -> {
            brokenConnections.remove(connection);
            if (isAlive(from, fromIncarnation)) {
                deliver(from, new DecisionEvent.PeerLost(to, toIncarnation));
            }
            if (isAlive(to, toIncarnation)) {
                deliver(to, new DecisionEvent.PeerLost(from, fromIncarnation));
            }
        });
    }

    private long delay(RouterName from, RouterName to) {
        return timing.delayMicroseconds(
                routers.get(from).member.zone(), routers.get(to).member.zone(), random);
    }

    private void startAtRunner(RouterName home, RequestDescription description, SimulatedRunner runner) {
        if (routers.get(home).core == null) {
            return;
        }
        RequestIdentifier identifier = description.identifier();
        if (runner.isDown(scheduler.now())) {
            deliver(home, new DecisionEvent.AnswerEnded(identifier, RunnerOutcome.NOT_SENT, 0));
            return;
        }
        RequestRecord request = requests.get(identifier);
        request.start();
        long duration = timing.durationMicroseconds(request.cost());
        SimulatedRunner.Work work = new SimulatedRunner.Work(
                request, home, routers.get(home).member.incarnation(), scheduler.now(), duration);
        if (runner.startAndDetectCrash(work, scheduler.now())) {
            crashRunner(runner, CRASH_PAUSE_MICROSECONDS);
            return;
        }
        scheduler.after(
                Math.min(duration, timing.firstProgressMicroseconds()), () -> reportProgress(runner, work, true));
        scheduler.after(duration, () -> complete(runner, work));
    }

    /** Crashes a runner with all its running requests; it restarts cold after the pause. */
    public void crashRunner(SimulatedRunner runner, long pauseMicroseconds) {
        List<SimulatedRunner.Work> abortedWork =
                new ArrayList<>(runner.runningWork().values());
        runner.crash(scheduler.now(), pauseMicroseconds);
        for (SimulatedRunner.Work work : abortedWork) {
            work.request().stop();
            RequestIdentifier identifier = work.request().description().identifier();
            double cost = work.served(scheduler.now());
            if (isAlive(work.home(), work.homeIncarnation())) {
                deliver(work.home(), new DecisionEvent.AnswerEnded(identifier, RunnerOutcome.BROKEN, cost));
            }
        }
    }

    private static boolean isStillRunning(SimulatedRunner runner, SimulatedRunner.Work work) {
        return runner.runningWork().get(work.request().description().identifier()) == work;
    }

    private boolean isAlive(RouterName name, long incarnation) {
        Router router = routers.get(name);
        return router.core != null && router.member.incarnation() == incarnation;
    }

    private void reportProgress(SimulatedRunner runner, SimulatedRunner.Work work, boolean isFirst) {
        if (!isStillRunning(runner, work) || !isAlive(work.home(), work.homeIncarnation())) {
            return;
        }
        RequestIdentifier identifier = work.request().description().identifier();
        if (isFirst) {
            deliver(work.home(), new DecisionEvent.AnswerBegan(identifier));
            scheduler.after(
                    delay(work.home(), identifier.entry()),
                    () -> deliver(identifier.entry(), new DecisionEvent.CallerAnswerBegan(identifier)));
        } else {
            deliver(work.home(), new DecisionEvent.AnswerProgressed(identifier, work.served(scheduler.now())));
        }
        scheduler.after(PROGRESS_PERIOD_MICROSECONDS, () -> reportProgress(runner, work, false));
    }

    private void complete(SimulatedRunner runner, SimulatedRunner.Work work) {
        if (!isStillRunning(runner, work)) {
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
        deliver(work.home(), new DecisionEvent.AnswerEnded(identifier, RunnerOutcome.COMPLETED, request.cost()));
        endAtCaller(work.home(), identifier, false);
    }

    private void cancelWork(RouterName home, RequestIdentifier identifier, SimulatedRunner runner) {
        SimulatedRunner.Work work = runner.runningWork().remove(identifier);
        double cost = work == null ? 0 : work.served(scheduler.now());
        if (work != null) {
            work.request().stop();
        }
        scheduler.after(
                RUNNER_DELAY_MICROSECONDS,
                () -> deliver(home, new DecisionEvent.AnswerEnded(identifier, RunnerOutcome.CANCELLED, cost)));
    }

    private void endAtCaller(RouterName home, RequestIdentifier identifier, boolean notRun) {
        RouterName entry = identifier.entry();
        if (dropFilter.test(home, entry) || routers.get(entry).core == null) {
            breakConnection(home, entry);
            return;
        }
        scheduler.after(delay(home, entry), () -> {
            if (!isAlive(entry, identifier.incarnation())) {
                return;
            }
            RequestRecord request = requests.get(identifier);
            boolean late = request.endCount() > 0 && !home.equals(entry);
            if (late) {
                return;
            }
            request.end(notRun);
            deliver(entry, new DecisionEvent.CallerAnswerEnded(identifier));
            listener.ended(request);
        });
    }

    private void reportLoads() {
        for (SimulatedRunner runner : runners.values()) {
            if (runner.isDown(scheduler.now())) {
                continue;
            }
            DecisionEvent report = new DecisionEvent.RunnerReported(runner.report());
            scheduler.after(
                    REPORT_DELAY_MICROSECONDS,
                    () -> deliverReport(runner.runner().zone(), report));
        }
    }

    private void deliverReport(ZoneName zone, DecisionEvent report) {
        boolean hasLocalRouter = routers.values().stream()
                .anyMatch(router -> router.core != null && router.member.zone().equals(zone));
        for (Map.Entry<RouterName, Router> entry : routers.entrySet()) {
            if (!hasLocalRouter || entry.getValue().member.zone().equals(zone)) {
                deliver(entry.getKey(), report);
            }
        }
    }
}
