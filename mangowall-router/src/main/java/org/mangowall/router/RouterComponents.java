package org.mangowall.router;

import java.io.IOException;
import java.time.Clock;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.netty.util.concurrent.EventExecutor;
import org.mangowall.inventory.Inventory;
import org.mangowall.kernel.duty.Duty;
import org.mangowall.kernel.duty.DutyHandler;
import org.mangowall.kernel.log.ComponentLog;
import org.mangowall.kernel.name.RouterName;
import org.mangowall.kernel.plugin.PluginRegistry;
import org.mangowall.platform.PlatformClient;
import org.mangowall.policy.RouterIdentity;
import org.mangowall.policy.SchedulingPolicy;
import org.mangowall.policy.fleet.FleetMember;
import org.mangowall.policy.fleet.FleetView;
import org.mangowall.policy.fleet.MemberState;
import org.mangowall.protocol.PeerMessage;
import org.mangowall.router.caller.CallerDocuments;
import org.mangowall.router.caller.CallerServer;
import org.mangowall.router.caller.EntryRequestHandler;
import org.mangowall.router.caller.LifecycleState;
import org.mangowall.router.decision.DecisionDuty;
import org.mangowall.router.decision.DecisionRecords;
import org.mangowall.router.decision.RouterActionExecutor;
import org.mangowall.router.home.HomeRequestHandler;
import org.mangowall.router.metrics.RouterGauges;
import org.mangowall.router.metrics.RouterMetrics;
import org.mangowall.router.operator.OperatorDocuments;
import org.mangowall.router.operator.OperatorServer;
import org.mangowall.router.peer.PeerNetwork;
import org.mangowall.router.runner.LoadPoller;
import org.mangowall.router.runner.RunnerClient;
import org.mangowall.router.spi.ControlContext;
import org.mangowall.router.spi.ControlPlane;
import org.mangowall.router.spi.ControlPlaneProvider;

/** Creates, wires, starts and closes the components of a router. */
final class RouterComponents implements ControlContext, AutoCloseable {

    private static final ComponentLog LOG = ComponentLog.of("router");
    private static final Duration RUNNER_CHECK_PERIOD = Duration.ofMillis(50);
    private static final int RUNNER_CHECK_RING_CAPACITY_EVENTS = 16;
    private static final int MAXIMUM_RECORDED_REQUESTS = 4096;

    private final RouterSettings settings;
    private final PlatformClient platform;
    private final Clock clock;
    private final RouterIdentity identity;
    private final RouterMetrics metrics = new RouterMetrics();
    private final EventLoopGroup eventLoops;
    private final DecisionDuty decisions;
    private final FleetState fleet;
    private final EntryRequestHandler entryRequestHandler;
    private final RunnerClient runnerClient;
    private final HomeRequestHandler homeRequestHandler;
    private final PeerNetwork peers;
    private final CallerServer callerServer;
    private final OperatorServer operatorServer;
    private final ControlPlane control;
    private final Duty<Runnable> runnerCheckDuty;
    private final DecisionRecords records = new DecisionRecords(MAXIMUM_RECORDED_REQUESTS);
    private volatile boolean leaving;
    private volatile boolean draining;
    private final CompletableFuture<Void> networkThreadEnd = new CompletableFuture<>();
    private volatile FleetMember self;
    private volatile boolean isClosing;
    private int operatorPort;

    RouterComponents(RouterSettings settings, PlatformClient platform, Clock clock) {
        this.settings = settings;
        this.platform = platform;
        this.clock = clock;
        this.identity = new RouterIdentity(settings.name(), clock.millis(), settings.zone());
        SchedulingPolicy policy = PluginRegistry.load(SchedulingPolicy.class).find(settings.schedulingPolicy());
        ControlPlaneProvider controlProvider =
                PluginRegistry.load(ControlPlaneProvider.class).find(settings.controlPlane());
        this.eventLoops = new NioEventLoopGroup(settings.ioThreads(), new DefaultThreadFactory("mangowall-io", true));
        this.decisions = new DecisionDuty(
                policy.create(identity, clock, settings.seed()), clock, metrics, settings.decisionRingEvents());
        this.fleet = new FleetState(decisions);
        this.control = controlProvider.create(this);
        this.entryRequestHandler = new EntryRequestHandler(
                identity, settings.caller(), decisions, metrics, fleet::inventory, control::claims);
        this.runnerClient = new RunnerClient(settings.runner(), clock, metrics, eventLoops);
        this.homeRequestHandler =
                new HomeRequestHandler(entryRequestHandler, runnerClient, decisions, metrics, fleet::inventory);
        PeerDispatcher dispatcher =
                new PeerDispatcher(entryRequestHandler, homeRequestHandler, decisions, metrics, this::control);
        this.peers =
                new PeerNetwork(identity, settings.peer(), metrics, clock, eventLoops, dispatcher, settings.seed());
        CallerDocuments callerDocuments = new CallerDocuments(
                identity, settings.caller().entryHostsKeepTime(), this::state, fleet::view, fleet::inventory);
        this.callerServer =
                new CallerServer(settings.caller(), eventLoops, entryRequestHandler, callerDocuments, this::state);
        OperatorDocuments operatorDocuments =
                new OperatorDocuments(identity, this::state, fleet::inventory, fleet::view, decisions::status, records);
        this.operatorServer = new OperatorServer(
                eventLoops,
                operatorDocuments,
                metrics.registry(),
                control.configuration(),
                settings.operatorTokenFile());
        this.runnerCheckDuty = createRunnerCheckDuty();
        registerGauges();
    }

    private void registerGauges() {
        RouterGauges gauges = new RouterGauges(metrics.registry(), decisions::status);
        gauges.registerAll();
        gauges.registerGauge(
                "mangowall_entry_open_requests", "Open requests of callers", entryRequestHandler::openRequests);
        gauges.registerGauge(
                "mangowall_home_open_requests", "Open requests of other entries", homeRequestHandler::openRequests);
        gauges.registerGauge(
                "mangowall_buffered_body_bytes", "Bodies of requests held", entryRequestHandler::bufferedBytes);
        gauges.registerGauge(
                "mangowall_decision_ring_events",
                "Events that wait for the decision duty",
                () -> decisions.duty().depth());
    }

    private Duty<Runnable> createRunnerCheckDuty() {
        LoadPoller poller = new LoadPoller(
                settings.runner(),
                runnerClient,
                clock,
                decisions::status,
                fleet::inventory,
                decisions,
                settings.seed());
        return new Duty<>("runner-watch", RUNNER_CHECK_RING_CAPACITY_EVENTS, RUNNER_CHECK_PERIOD, new DutyHandler<>() {
            @Override
            public void handle(Runnable task) {
                task.run();
            }

            @Override
            public void tick() {
                runnerClient.checkProgress();
                poller.poll();
            }
        });
    }

    private void watchNetworkThreads() {
        for (EventExecutor networkThread : eventLoops) {
            networkThread.terminationFuture().addListener(ended -> {
                if (!isClosing) {
                    networkThreadEnd.complete(null);
                }
            });
        }
    }

    EventLoopGroup networkThreads() {
        return eventLoops;
    }

    CompletableFuture<Void> networkThreadEnd() {
        return networkThreadEnd;
    }

    void start() {
        watchNetworkThreads();
        int peerPort = peers.bind(settings.peerAddress().toSocketAddress());
        int callerPort = callerServer.bind(settings.callerAddress().toSocketAddress());
        operatorPort = operatorServer.bind(settings.operatorAddress().toSocketAddress());
        self = new FleetMember(
                identity.name(),
                identity.incarnation(),
                identity.zone(),
                settings.callerAddress().host(),
                callerPort,
                peerPort,
                MemberState.ALIVE);
        decisions.start(new RouterActionExecutor(
                identity, entryRequestHandler, homeRequestHandler, peers, decisions, clock, records));
        runnerCheckDuty.start();
        control.start();
    }

    int callerPort() {
        return self.callerPort();
    }

    int peerPort() {
        return self.peerPort();
    }

    int operatorPort() {
        return operatorPort;
    }

    ControlPlane control() {
        return control;
    }

    FleetState fleet() {
        return fleet;
    }

    DecisionDuty decisions() {
        return decisions;
    }

    /** Enters {@code LEAVING} or {@code DRAINING}; the router never returns to an earlier state. */
    void setShutdownState(LifecycleState newState) {
        leaving = true;
        draining = newState == LifecycleState.DRAINING;
    }

    private LifecycleState state() {
        if (leaving) {
            return draining ? LifecycleState.DRAINING : LifecycleState.LEAVING;
        }
        boolean ready = fleet.inventory().version() > 0 && control.isReady();
        return ready ? LifecycleState.SERVING : LifecycleState.STARTING;
    }

    void stopListening() {
        callerServer.stopListening();
    }

    /** Gives the open requests of this router's callers their final answer; other routers notice that it ends. */
    void endRequests() {
        entryRequestHandler.endRequests();
    }

    int openRequests() {
        return entryRequestHandler.openRequests() + homeRequestHandler.openRequests();
    }

    @Override
    public FleetMember self() {
        return self;
    }

    @Override
    public Clock clock() {
        return clock;
    }

    @Override
    public long seed() {
        return settings.seed();
    }

    @Override
    public PlatformClient platform() {
        return platform;
    }

    @Override
    public boolean send(RouterName to, PeerMessage message) {
        return peers.send(to, message);
    }

    @Override
    public void installInventory(Inventory inventory) {
        fleet.install(inventory);
    }

    @Override
    public void installFleetView(FleetView view) {
        fleet.install(view, peers);
    }

    @Override
    public void close() {
        isClosing = true;
        control.close();
        runnerCheckDuty.close();
        callerServer.close();
        operatorServer.close();
        peers.close();
        decisions.close();
        try {
            runnerClient.close();
        } catch (IOException failure) {
            LOG.warn("can't close the runner client: %s", failure);
        }
        platform.close();
        eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly(2, TimeUnit.SECONDS);
    }
}
