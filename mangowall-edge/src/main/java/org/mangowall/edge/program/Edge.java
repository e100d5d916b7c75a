package org.mangowall.edge.program;

import java.time.Clock;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.util.internal.PlatformDependent;
import org.mangowall.edge.decision.CrashSuspect;
import org.mangowall.edge.decision.FleetLoad;
import org.mangowall.edge.decision.LoadEvent;
import org.mangowall.edge.log.DecisionLog;
import org.mangowall.edge.log.EdgeMetrics;
import org.mangowall.edge.log.GuardedTask;
import org.mangowall.edge.log.TrafficMeter;
import org.mangowall.edge.mirror.ClosedZones;
import org.mangowall.edge.mirror.RunnerRegistry;
import org.mangowall.edge.mirror.StoreAvailability;
import org.mangowall.edge.mirror.StoreMirror;
import org.mangowall.edge.mirror.StoreWatcher;
import org.mangowall.edge.mirror.WatchSchedule;
import org.mangowall.edge.model.HostRecord;
import org.mangowall.edge.model.RunnerEntry;
import org.mangowall.edge.overload.HeldMemory;
import org.mangowall.edge.peer.PeerMesh;
import org.mangowall.edge.traffic.AcceptFailureHandler;
import org.mangowall.edge.traffic.AcceptOptions;
import org.mangowall.edge.traffic.CallerConnections;
import org.mangowall.edge.traffic.EdgeContext;
import org.mangowall.edge.traffic.RunnerConnections;
import org.mangowall.edge.wire.ObjectKind;
import org.mangowall.edge.wire.ObjectStoreClient;
import org.mangowall.edge.wire.PlatformAdapter;
import org.mangowall.edge.wire.StorePosition;
import org.mangowall.edge.wire.StoredObject;
import org.mangowall.inventory.checked.HostAndPort;
import org.mangowall.kernel.failure.FailureCode;
import org.mangowall.kernel.failure.MangowallException;

/** A host: assembles its components, starts them and shuts them down. */
public final class Edge implements AutoCloseable {

    private static final int MAX_DIRECTORY_REQUEST_BYTES = 16_384;
    private static final long EXPIRY_CHECK_MILLIS = 1_000;

    /** Time within which hosts that start together discover each other. */
    private static final long HOST_DISCOVERY_NANOS = 2_000_000_000L;

    /** Fraction of a latency goal that the host's own path may take; the rest is the runners'. */
    private static final double BEARABLE_GOAL_FRACTION = 0.25;
    /** Shorter delays of the event loop are ordinary. */
    private static final double MIN_BEARABLE_DELAY_MILLIS = 100;

    private static final double NANOS_PER_MILLI = 1e6;
    private static final long CLOSE_TIMEOUT_MILLIS = 1_000;
    private static final long SHUTDOWN_CHECK_MILLIS = 50;

    private final EdgeSettings settings;
    private final PlatformAdapter adapter;
    private final DecisionLog log;
    private final EdgeMetrics metrics = new EdgeMetrics();
    private final TrafficMeter traffic = new TrafficMeter();
    private final EventLoopGroup group = new NioEventLoopGroup(1);
    private final EventLoop loop = group.next();
    private final CountDownLatch stopRequested = new CountDownLatch(1);
    private final CountDownLatch stopped = new CountDownLatch(1);
    private final Random random = new Random();
    private final FleetLoad fleet;
    private final LoadLog loadLog;
    private final StoreMirror mirror;
    private final StoreAvailability storeAvailability;
    private final RunnerRegistry runnerRegistry;
    private final ClosedZones closedZones;
    private final HostRecord self;
    private final long startedAt = System.nanoTime();
    private PeerMesh mesh;
    private HostRegistry hostRegistry;
    private EdgeContext context;
    private CallerConnections callers;
    private CallerListener callerListener;
    private long shutdownStartedAt;
    private volatile boolean hasFailed;
    private volatile boolean isClosing;

    /** Assembles the components without binding any address. */
    public Edge(EdgeSettings settings, PlatformAdapter adapter, DecisionLog log) {
        this.settings = settings;
        this.adapter = adapter;
        this.log = log;
        this.self = new HostRecord(
                settings.name(),
                Clock.systemUTC().millis(),
                settings.peerAddress().toString(),
                settings.callerAddress().toString(),
                settings.zone(),
                settings.processors());
        this.fleet = new FleetLoad(settings.name(), settings.bounds().shareWindowNanos());
        this.loadLog = new LoadLog(log, metrics, fleet, traffic);
        this.storeAvailability = new StoreAvailability(System.nanoTime());
        this.mirror = new StoreMirror(this::objectChanged, this::storeEraBegan);
        this.closedZones = new ClosedZones(fleet, storeAvailability);
        this.runnerRegistry = new RunnerRegistry(
                fleet,
                storeAvailability,
                identifier -> log.write("runner-gone", line -> line.writeStringField("runner", identifier)),
                this::logKeptRunner);
    }

    /** Binds all addresses and starts to accept requests; returns immediately. */
    public void start() {
        loop.terminationFuture().addListener(ended -> networkThreadEnded());
        loop.submit(this::startOnLoop).syncUninterruptibly();
        callerListener = new CallerListener(
                serverBootstrap(callers)
                        .option(ChannelOption.RCVBUF_ALLOCATOR, callers.room().acceptedInATurn())
                        .localAddress(settings.callerAddress().toSocketAddress()),
                loop,
                System::nanoTime,
                log,
                metrics);
        loop.execute(() -> callers.room().setAcceptingListener(callerListener::roomChanged));
        requireBound(callerListener.bind(), settings.callerAddress());
        if (settings.refusesWhenBehind()) {
            loop.execute(() -> {
                CallerListener.OwnDelays delays = new CallerListener.OwnDelays(
                        () -> context.deferredWork().delayNanos() / NANOS_PER_MILLI,
                        mesh::pathDelayMillis,
                        this::bearableDelayMillis);
                callerListener.startGate(delays, context::entryChanged);
                context.deferredWork().setTurnListener(callerListener::checkGate);
            });
        }
        bind(settings.peerAddress(), new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                channel.pipeline().addLast(traffic.counter(TrafficMeter.Endpoint.PEER));
                mesh.accept(channel);
            }
        });
        bind(settings.directoryAddress(), directoryInitializer());
        if (!settings.readinessAddress().equals(settings.directoryAddress())) {
            bind(settings.readinessAddress(), directoryInitializer());
        }
        bind(settings.metricsAddress(), directoryInitializer());
        log.write("started", line -> {
            line.writeStringField("zone", settings.zone());
            line.writeStringField("callers", settings.callerAddress().toString());
        });
    }

    private void startOnLoop() {
        List<String> seeds =
                settings.peerSeeds().stream().map(HostAndPort::toString).toList();
        mesh = new PeerMesh(
                self, seeds, fleet, mirror, storeAvailability, log, loop, traffic, System::nanoTime, this::isReady);
        context = new EdgeContext(
                adapter.messages(),
                fleet,
                settings.bounds(),
                new HeldMemory(settings.memory().budgetBytes(PlatformDependent.maxDirectMemory())),
                log,
                metrics,
                traffic,
                loop,
                System::nanoTime,
                random::nextDouble,
                mesh,
                mesh::pathDelayMillis,
                settings.zone());
        callers = new CallerConnections(context, new RunnerConnections(context), DescriptorLimit.of(settings));
        ObjectStoreClient storeClient = adapter.connect(settings.store().toSocketAddress(), loop);
        WatchSchedule watchSchedule = new WatchSchedule(random::nextDouble);
        for (ObjectKind kind : List.of(ObjectKind.CONFIGURATION, ObjectKind.RUNNER, ObjectKind.CLOSED_ZONE)) {
            new StoreWatcher(
                            kind,
                            storeClient,
                            mirror,
                            storeAvailability,
                            watchSchedule,
                            loop,
                            System::nanoTime,
                            this::logStoreAvailability,
                            this::shouldReadStore)
                    .start();
        }
        hostRegistry = new HostRegistry(
                self,
                storeClient,
                adapter.objects(),
                loop,
                settings.isFirstStart(),
                mesh::addDiscovered,
                this::needsHostList);
        hostRegistry.start();
        mesh.start(loop);
        loop.scheduleAtFixedRate(
                new GuardedTask(log, "expiry", this::dropExpired),
                EXPIRY_CHECK_MILLIS,
                EXPIRY_CHECK_MILLIS,
                TimeUnit.MILLISECONDS);
        context.loopDelay().start(delayNanos -> new GuardedTask(log, "load", () -> logLoad(delayNanos)).run());
    }

    /** When a whole fleet starts for the first time, hosts discover each other before any of them reads the store. */
    private boolean shouldReadStore() {
        return !isDiscoveringHosts() && mesh.isStoreReader();
    }

    private boolean needsHostList() {
        return !isDiscoveringHosts() && (mesh.isAlone() || mesh.isStoreReader());
    }

    private boolean isDiscoveringHosts() {
        return settings.isFirstStart() && System.nanoTime() - startedAt < HOST_DISCOVERY_NANOS;
    }

    private void dropExpired() {
        long now = System.nanoTime();
        runnerRegistry.applyPending(now);
        closedZones.openExpired(now);
        fleet.dropExpired(now);
    }

    private void reportQuarantines() {
        fleet.quarantine()
                .takeNewlyQuarantined()
                .forEach(suspect -> logSuspect(suspect.rejection().code(), suspect));
        fleet.quarantine().takeNewlyCleared().forEach(suspect -> {
            logSuspect("quarantine-cleared", suspect);
            mesh.publish(new LoadEvent.Quarantined(suspect, 0));
        });
    }

    private void logSuspect(String event, CrashSuspect suspect) {
        String field = switch (suspect) {
            case CrashSuspect.Part part -> "part";
            case CrashSuspect.Request request -> "fingerprint";
        };
        log.write(event, line -> line.writeStringField(field, Long.toHexString(suspect.identifier())));
    }

    private void logLoad(long loopDelayNanos) {
        reportQuarantines();
        loadLog.write(loopDelayNanos, context, callers);
    }

    private void logKeptRunner(String identifier, String reason, long nanos) {
        log.write("runner-kept", line -> {
            line.writeStringField("runner", identifier);
            line.writeStringField("reason", reason);
            line.writeNumberField("millis", TimeUnit.NANOSECONDS.toMillis(nanos));
        });
    }

    private void logStoreAvailability(String change) {
        log.write("store", line -> line.writeStringField("change", change));
    }

    private ChannelInitializer<Channel> directoryInitializer() {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                channel.pipeline()
                        .addLast(
                                callers.room().tracker(),
                                new HttpServerCodec(),
                                new HttpObjectAggregator(MAX_DIRECTORY_REQUEST_BYTES),
                                new DirectoryHandler(
                                        adapter.directory(),
                                        Edge.this::isReady,
                                        Edge.this::entryHosts,
                                        settings.directoryCacheTime(),
                                        metrics));
            }
        };
    }

    private void bind(HostAndPort address, ChannelHandler handler) {
        requireBound(serverBootstrap(handler).bind(address.toSocketAddress()), address);
    }

    private ServerBootstrap serverBootstrap(ChannelHandler handler) {
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(group, group)
                .channel(NioServerSocketChannel.class)
                .handler(new AcceptFailureHandler(context, callers.room()))
                .childHandler(handler);
        return AcceptOptions.applyTo(bootstrap);
    }

    private static void requireBound(ChannelFuture binding, HostAndPort address) {
        binding.awaitUninterruptibly();
        if (!binding.isSuccess()) {
            throw new MangowallException(
                    FailureCode.ADDRESS_UNUSABLE, "the address " + address + " can't be bound", binding.cause());
        }
    }

    /** The delay on this host's own path that callers can bear, as part of their latency goals. */
    private double bearableDelayMillis() {
        double goalMillis = context.table()
                .map(table -> table.medianLatencyGoal().toMillis())
                .orElse(0L);
        return Math.max(MIN_BEARABLE_DELAY_MILLIS, BEARABLE_GOAL_FRACTION * goalMillis);
    }

    private boolean isReady() {
        return context.table().isPresent()
                && fleet.runnerCount() > 0
                && !context.lifecycle().isLeaving();
    }

    private List<String> entryHosts(String callerZone) {
        List<HostRecord> ready = new ArrayList<>(mesh.readyPeers());
        if (isReady()) {
            ready.add(self);
        }
        return EntryHostSelector.select(ready, callerZone, random);
    }

    private void storeEraBegan(StorePosition previous, StorePosition current) {
        hostRegistry.eraBegan(current.era());
        if (previous.equals(StorePosition.START)) {
            return;
        }
        storeAvailability.recordRestore(System.nanoTime());
        metrics.countStoreRestore();
        log.write("store-restored", line -> {
            line.writeNumberField("previousEra", previous.era());
            line.writeNumberField("previousRevision", previous.revision());
            line.writeNumberField("era", current.era());
            line.writeNumberField("revision", current.revision());
        });
    }

    private void objectChanged(StoredObject object) {
        new GuardedTask(log, "store-object " + object.name(), () -> applyObject(object)).run();
    }

    private void applyObject(StoredObject object) {
        long now = System.nanoTime();
        switch (object.kind()) {
            case CONFIGURATION -> configurationChanged(object);
            case RUNNER -> runnerChanged(object, now);
            case CLOSED_ZONE -> zoneChanged(object, now);
            case HOST -> adapter.objects().host(object).ifPresent(mesh::addDiscovered);
            default ->
                throw new MangowallException(FailureCode.INTERNAL, "unexpected kind of object: " + object.kind());
        }
    }

    private void configurationChanged(StoredObject object) {
        if (object.isDeleted()) {
            return;
        }
        adapter.objects().configuration(object).ifPresent(table -> {
            boolean isInstalled = context.install(table);
            log.write("configuration", line -> {
                line.writeNumberField("version", table.version());
                line.writeNumberField("revision", object.position().revision());
                line.writeNumberField("era", object.position().era());
                line.writeBooleanField("inForce", isInstalled);
            });
        });
    }

    private void runnerChanged(StoredObject object, long now) {
        if (object.isDeleted()) {
            runnerRegistry.removeEntry(object.name(), now);
            return;
        }
        var entry = adapter.objects().runner(object);
        runnerRegistry.updateEntry(object.name(), entry, now);
        log.write("runner", line -> {
            line.writeStringField("runner", object.name());
            line.writeNumberField("revision", object.position().revision());
            line.writeNumberField("era", object.position().era());
            line.writeStringField(
                    "softwareVersion", entry.map(RunnerEntry::softwareVersion).orElse(""));
            line.writeBooleanField("isUsable", entry.isPresent());
            line.writeBooleanField("isLeaving", entry.isPresent() && entry.get().isDraining());
            line.writeNumberField(
                    "coldMillis", entry.isPresent() ? entry.get().coldLeft().toMillis() : 0);
        });
    }

    private void zoneChanged(StoredObject object, long now) {
        if (object.isDeleted()) {
            closedZones.removeEntry(object.name(), now);
        } else {
            closedZones.close(object.name());
        }
        log.write("zone", line -> {
            line.writeStringField("zone", object.name());
            line.writeNumberField("revision", object.position().revision());
            line.writeNumberField("era", object.position().era());
            line.writeBooleanField("isClosed", !object.isDeleted());
        });
    }

    /** Without the network thread nothing is served or heard, so the process has to be started again. */
    private void networkThreadEnded() {
        if (isClosing) {
            return;
        }
        hasFailed = true;
        log.write("network-thread-ended", line -> line.writeBooleanField("isLeaving", stopRequested.getCount() == 0));
        stopped.countDown();
        stopRequested.countDown();
    }

    /** Starts a graceful shutdown; returns immediately. */
    public void beginShutdown() {
        stopRequested.countDown();
        if (loop.isShuttingDown()) {
            return;
        }
        loop.execute(() -> {
            if (context.lifecycle().isLeaving()) {
                return;
            }
            shutdownStartedAt = System.nanoTime();
            context.lifecycle().leave();
            mesh.reportNow();
            log.write("leaving", line -> line.writeNumberField("busy", callers.activeRequests()));
            loop.schedule(this::rejectNew, shutdownSchedule().acceptingMillis(), TimeUnit.MILLISECONDS);
        });
    }

    private void rejectNew() {
        context.lifecycle().rejectNew();
        callerListener.end();
        stopWhenIdle();
    }

    private ShutdownSchedule shutdownSchedule() {
        return new ShutdownSchedule(settings.grace());
    }

    private void stopWhenIdle() {
        callers.closeIdle();
        long busy = callers.activeRequests();
        long elapsedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - shutdownStartedAt);
        if (busy == 0) {
            stop(0);
        } else if (elapsedMillis >= shutdownSchedule().finishingMillis()) {
            callers.endRequests();
            loop.schedule(() -> stop(busy), shutdownSchedule().finalResponsesMillis(), TimeUnit.MILLISECONDS);
        } else {
            loop.schedule(this::stopWhenIdle, SHUTDOWN_CHECK_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void stop(long unfinished) {
        log.write("stopped", line -> line.writeNumberField("busy", unfinished));
        stopped.countDown();
    }

    /** Shuts down immediately and aborts the active requests. */
    @Override
    public void close() {
        isClosing = true;
        group.shutdownGracefully(0, CLOSE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS).syncUninterruptibly();
        stopped.countDown();
        stopRequested.countDown();
    }

    /**
     * Waits until a shutdown is complete, or has to be given up at the end of the grace period.
     *
     * @return whether the host has ended in order
     */
    public boolean awaitShutdown() {
        try {
            stopRequested.await();
            if (!stopped.await(shutdownSchedule().lastMillis(), TimeUnit.MILLISECONDS)) {
                log.write("shutdown-timed-out", line -> line.writeStringField("reason", "the network thread is busy"));
                return false;
            }
        } catch (InterruptedException interruption) {
            Thread.currentThread().interrupt();
        }
        return !hasFailed;
    }
}
