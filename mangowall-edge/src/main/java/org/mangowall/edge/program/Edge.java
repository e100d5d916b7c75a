package org.mangowall.edge.program;

import java.time.Clock;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import org.mangowall.edge.decision.FleetLoad;
import org.mangowall.edge.log.DecisionLog;
import org.mangowall.edge.log.EdgeMetrics;
import org.mangowall.edge.mirror.RunnerRegistry;
import org.mangowall.edge.mirror.StoreAvailability;
import org.mangowall.edge.mirror.StoreMirror;
import org.mangowall.edge.mirror.StoreWatcher;
import org.mangowall.edge.model.HostRecord;
import org.mangowall.edge.peer.PeerMesh;
import org.mangowall.edge.traffic.CallerConnections;
import org.mangowall.edge.traffic.EdgeContext;
import org.mangowall.edge.traffic.RunnerConnections;
import org.mangowall.edge.wire.ObjectKind;
import org.mangowall.edge.wire.ObjectStoreClient;
import org.mangowall.edge.wire.PlatformAdapter;
import org.mangowall.edge.wire.StoredObject;
import org.mangowall.inventory.checked.HostAndPort;
import org.mangowall.kernel.failure.FailureCode;
import org.mangowall.kernel.failure.MangowallException;

/** A host: joins the parts, starts and ends them. */
public final class Edge implements AutoCloseable {

    private static final int BACKLOG = 1_024;
    private static final int MOST_DIRECTORY_REQUEST_BYTES = 16_384;
    private static final long SECOND_MILLIS = 1_000;
    /** Callers have heard by then that the host is leaving; later requests could outlast the end. */
    private static final long TAKE_AFTER_LEAVE_MILLIS = 2_800;

    /** Hosts that start together know each other by then. */
    private static final long FIRST_START_NANOS = 2_000_000_000L;

    private static final long CLOSE_MILLIS = 1_000;
    private static final long END_CHECK_MILLIS = 50;
    /** What is kept back of the grace for the process to end. */
    private static final long END_MARGIN_MILLIS = 700;

    private final EdgeSettings settings;
    private final PlatformAdapter adapter;
    private final DecisionLog log;
    private final EdgeMetrics metrics = new EdgeMetrics();
    private final EventLoopGroup group = new NioEventLoopGroup(1);
    private final EventLoop loop = group.next();
    private final CountDownLatch ended = new CountDownLatch(1);
    private final List<Channel> listeners = new ArrayList<>();
    private final Random random = new Random();
    private final FleetLoad fleet;
    private final StoreMirror mirror;
    private final StoreAvailability contact;
    private final RunnerRegistry roster;
    private final HostRecord self;
    private final long startedAt = System.nanoTime();
    private PeerMesh mesh;
    private EdgeContext context;
    private CallerConnections callers;
    private long leavingSince;

    /** Joins the parts; nothing is bound yet. */
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
        this.contact = new StoreAvailability(System.nanoTime());
        this.mirror = new StoreMirror(this::changed);
        this.roster = new RunnerRegistry(
                fleet,
                contact,
                identifier -> log.write("runner-gone", line -> line.writeStringField("runner", identifier)));
    }

    /** Binds all addresses and begins to work; returns at once. */
    public void start() {
        loop.submit(this::startOnLoop).syncUninterruptibly();
        bind(settings.callerAddress(), callers);
        bind(settings.peerAddress(), new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                mesh.accept(channel);
            }
        });
        bind(settings.directoryAddress(), directoryPipeline());
        if (!settings.readinessAddress().equals(settings.directoryAddress())) {
            bind(settings.readinessAddress(), directoryPipeline());
        }
        bind(settings.metricsAddress(), directoryPipeline());
        log.write("started", line -> {
            line.writeStringField("zone", settings.zone());
            line.writeStringField("callers", settings.callerAddress().toString());
        });
    }

    private void startOnLoop() {
        List<String> seeds =
                settings.peerSeeds().stream().map(HostAndPort::toString).toList();
        mesh = new PeerMesh(self, seeds, fleet, mirror, contact, log, loop, System::nanoTime, this::isReady);
        context = new EdgeContext(
                adapter.messages(),
                fleet,
                settings.bounds(),
                log,
                metrics,
                loop,
                System::nanoTime,
                random::nextDouble,
                mesh,
                settings.zone());
        callers = new CallerConnections(context, new RunnerConnections(context));
        ObjectStoreClient calls = adapter.connect(settings.store().toSocketAddress(), loop);
        for (ObjectKind kind : List.of(ObjectKind.CONFIGURATION, ObjectKind.RUNNER, ObjectKind.CLOSED_ZONE)) {
            new StoreWatcher(kind, calls, mirror, contact, loop, System::nanoTime, this::logContact, this::asksStore)
                    .start();
        }
        new HostRegistry(self, calls, adapter.objects(), loop, settings.isFirstStart(), mesh::found, this::needsHosts)
                .start();
        mesh.start(loop);
        loop.scheduleAtFixedRate(this::everySecond, SECOND_MILLIS, SECOND_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** In the first start of a whole fleet, hosts find each other before any asks the store. */
    private boolean asksStore() {
        return !isSettling() && mesh.isOnStoreDuty();
    }

    private boolean needsHosts() {
        return !isSettling() && (mesh.isAlone() || mesh.isOnStoreDuty());
    }

    private boolean isSettling() {
        return settings.isFirstStart() && System.nanoTime() - startedAt < FIRST_START_NANOS;
    }

    private void everySecond() {
        long now = System.nanoTime();
        roster.removeOverdue(now);
        fleet.forgetOldWork(now);
    }

    private void logContact(String change) {
        log.write("store", line -> line.writeStringField("change", change));
    }

    private ChannelInitializer<Channel> directoryPipeline() {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                channel.pipeline()
                        .addLast(
                                new HttpServerCodec(),
                                new HttpObjectAggregator(MOST_DIRECTORY_REQUEST_BYTES),
                                new DirectoryHandler(
                                        adapter.directory(),
                                        Edge.this::isReady,
                                        Edge.this::entryHosts,
                                        settings.answerLife(),
                                        metrics));
            }
        };
    }

    private void bind(HostAndPort address, ChannelHandler handler) {
        var bound = new ServerBootstrap()
                .group(group, group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(handler)
                .bind(address.toSocketAddress())
                .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new MangowallException(
                    FailureCode.ADDRESS_UNUSABLE, "the address " + address + " can't be bound", bound.cause());
        }
        listeners.add(bound.channel());
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
        return EntryHosts.choose(ready, callerZone, random);
    }

    private void changed(StoredObject object) {
        long now = System.nanoTime();
        switch (object.kind()) {
            case CONFIGURATION -> configurationChanged(object);
            case RUNNER -> runnerChanged(object, now);
            case CLOSED_ZONE -> zoneChanged(object, now);
            case HOST -> adapter.objects().host(object).ifPresent(mesh::found);
            default -> throw new MangowallException(FailureCode.INTERNAL, "nobody follows " + object.kind());
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
                line.writeNumberField("revision", object.revision());
                line.writeBooleanField("inForce", isInstalled);
            });
        });
    }

    private void runnerChanged(StoredObject object, long now) {
        if (object.isDeleted()) {
            roster.unlisted(object.name(), now);
            return;
        }
        var entry = adapter.objects().runner(object);
        roster.listed(object.name(), entry, now);
        log.write("runner", line -> {
            line.writeStringField("runner", object.name());
            line.writeNumberField("revision", object.revision());
            line.writeBooleanField("isUsable", entry.isPresent());
            line.writeBooleanField("isLeaving", entry.isPresent() && entry.get().isLeaving());
            line.writeNumberField(
                    "coldMillis", entry.isPresent() ? entry.get().coldLeft().toMillis() : 0);
        });
    }

    private void zoneChanged(StoredObject object, long now) {
        if (object.isDeleted()) {
            fleet.openZone(object.name(), now);
        } else {
            fleet.closeZone(object.name());
        }
        log.write("zone", line -> {
            line.writeStringField("zone", object.name());
            line.writeNumberField("revision", object.revision());
            line.writeBooleanField("isClosed", !object.isDeleted());
        });
    }

    /** Begins a graceful end. */
    public void leave() {
        loop.execute(() -> {
            if (context.lifecycle().isLeaving()) {
                return;
            }
            leavingSince = System.nanoTime();
            context.lifecycle().leave();
            mesh.tellNow();
            log.write("leaving", line -> line.writeNumberField("busy", callers.busy()));
            loop.schedule(this::refuseNew, TAKE_AFTER_LEAVE_MILLIS, TimeUnit.MILLISECONDS);
        });
    }

    private void refuseNew() {
        context.lifecycle().refuseNew();
        listeners.getFirst().close();
        endWhenDone();
    }

    private void endWhenDone() {
        callers.closeQuiet();
        long busy = callers.busy();
        long left = settings.grace().toMillis()
                - END_MARGIN_MILLIS
                - TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - leavingSince);
        if (busy == 0 || left <= 0) {
            log.write("stopped", line -> line.writeNumberField("busy", busy));
            ended.countDown();
            return;
        }
        loop.schedule(this::endWhenDone, END_CHECK_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Ends at once, whatever is under way. */
    @Override
    public void close() {
        group.shutdownGracefully(0, CLOSE_MILLIS, TimeUnit.MILLISECONDS).syncUninterruptibly();
        ended.countDown();
    }

    /** Waits until a graceful end is complete. */
    public void awaitEnd() {
        try {
            ended.await();
        } catch (InterruptedException interruption) {
            Thread.currentThread().interrupt();
        }
    }
}
