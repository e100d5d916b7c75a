package org.mangowall.edge.program;

import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Clock;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import org.mangowall.edge.decision.FleetLoad;
import org.mangowall.edge.log.DecisionLog;
import org.mangowall.edge.log.EdgeMetrics;
import org.mangowall.edge.model.CallerLimits;
import org.mangowall.edge.model.EngineTraits;
import org.mangowall.edge.model.RequestKind;
import org.mangowall.edge.model.Route;
import org.mangowall.edge.model.RouteTable;
import org.mangowall.edge.model.RunnerEntry;
import org.mangowall.edge.model.ServiceDescription;
import org.mangowall.edge.model.WeightedService;
import org.mangowall.edge.traffic.CallerConnections;
import org.mangowall.edge.traffic.EdgeBounds;
import org.mangowall.edge.traffic.EdgeContext;
import org.mangowall.edge.traffic.RunnerConnections;
import org.mangowall.edge.wire.HttpMessageCodec;

/**
 * Serves example requests inside the process, so that the first real ones find the code loaded and compiled.
 *
 * <p>Caller, host and runner talk over the loopback, on a thread and with state of their own; nothing of it is counted
 * or logged.
 */
public final class Rehearsal implements AutoCloseable {

    /** Enough for the code of the data path to be compiled. */
    public static final int FULL_ROUNDS = 300;
    /** Enough to load the classes of the data path. */
    static final int SHORT_ROUNDS = 20;

    static final String HOST_NAME = "rehearsal.example";
    static final String KEY = "rehearsal-key";
    static final String STREAMS = "/streams/";
    static final String CALLS = "/calls/";

    private static final String ZONE = "rehearsal";
    private static final int MOST_BODY_BYTES = 65_536;
    private static final int CONNECTIONS = 8;
    private static final int SLOTS = 4;
    private static final Duration TIMEOUT = Duration.ofSeconds(10);
    private static final EdgeBounds BOUNDS =
            new EdgeBounds(1, 1, TimeUnit.SECONDS.toNanos(1), TimeUnit.SECONDS.toNanos(1));
    private static final EngineTraits ENGINE = new EngineTraits(SLOTS, 1_000_000, 1, 1);

    private final HttpMessageCodec messages;
    private final AtomicInteger served = new AtomicInteger();
    private final EventLoopGroup group = new NioEventLoopGroup(1);
    private final DecisionLog log = new DecisionLog(OutputStream.nullOutputStream(), Clock.systemUTC(), ZONE);

    /** Prepares a rehearsal with the messages of a platform. */
    public Rehearsal(HttpMessageCodec messages) {
        this.messages = messages;
    }

    /** Plays so many requests and closes itself; returns at once. */
    public void start(int rounds) {
        Channel runner = bind(new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                channel.pipeline()
                        .addLast(
                                new HttpServerCodec(),
                                new HttpObjectAggregator(MOST_BODY_BYTES),
                                new RehearsalRunner(messages));
            }
        });
        EdgeContext context = context((InetSocketAddress) runner.localAddress());
        Channel host = bind(new CallerConnections(context, new RunnerConnections(context)));
        new Bootstrap()
                .group(group)
                .channel(NioSocketChannel.class)
                .handler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline()
                                .addLast(
                                        new HttpClientCodec(),
                                        new HttpObjectAggregator(MOST_BODY_BYTES),
                                        new RehearsalCaller(
                                                messages, rounds, served::incrementAndGet, Rehearsal.this::close));
                    }
                })
                .connect(host.localAddress());
    }

    /** How many requests got the whole answer of the runner. */
    public int served() {
        return served.get();
    }

    /** Waits until the rehearsal is over. */
    public void await() {
        group.terminationFuture().awaitUninterruptibly(TIMEOUT.toMillis());
    }

    private Channel bind(ChannelHandler handler) {
        return new ServerBootstrap()
                .group(group, group)
                .channel(NioServerSocketChannel.class)
                .childHandler(handler)
                .bind(InetAddress.getLoopbackAddress(), 0)
                .syncUninterruptibly()
                .channel();
    }

    private EdgeContext context(InetSocketAddress runner) {
        FleetLoad fleet = new FleetLoad(ZONE, BOUNDS.shareWindowNanos());
        EdgeContext context = new EdgeContext(
                messages,
                fleet,
                BOUNDS,
                log,
                new EdgeMetrics(),
                group.next(),
                System::nanoTime,
                () -> 0,
                event -> {},
                ZONE);
        context.install(new RouteTable(
                1,
                List.of(route(STREAMS, RequestKind.RESUMABLE_STREAM), route(CALLS, RequestKind.IDEMPOTENT)),
                List.of(service(STREAMS, Optional.of(ENGINE)), service(CALLS, Optional.empty())),
                true,
                Map.of(KEY, ZONE),
                CallerLimits.DEFAULT,
                1));
        for (String service : List.of(STREAMS, CALLS)) {
            RunnerEntry entry = new RunnerEntry(service, 0, service, runner, ZONE, SLOTS, false, Duration.ZERO);
            fleet.installRunner(entry, context.now());
        }
        return context;
    }

    private static Route route(String path, RequestKind kind) {
        return new Route(
                path,
                HOST_NAME,
                path,
                kind,
                List.of(new WeightedService(path, 1)),
                TIMEOUT,
                TIMEOUT,
                TIMEOUT,
                0,
                2,
                false);
    }

    private static ServiceDescription service(String name, Optional<EngineTraits> engine) {
        return new ServiceDescription(name, CONNECTIONS, Duration.ZERO, 0, engine);
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
        log.close();
    }
}
