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
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import org.mangowall.edge.decision.FleetLoad;
import org.mangowall.edge.log.DecisionLog;
import org.mangowall.edge.log.EdgeMetrics;
import org.mangowall.edge.log.TrafficMeter;
import org.mangowall.edge.model.CallerLimits;
import org.mangowall.edge.model.EngineTraits;
import org.mangowall.edge.model.RequestKind;
import org.mangowall.edge.model.Route;
import org.mangowall.edge.model.RouteTable;
import org.mangowall.edge.model.RunnerEntry;
import org.mangowall.edge.model.ServiceDescription;
import org.mangowall.edge.model.WeightedService;
import org.mangowall.edge.overload.HeldMemory;
import org.mangowall.edge.traffic.CallerConnections;
import org.mangowall.edge.traffic.EdgeBounds;
import org.mangowall.edge.traffic.EdgeContext;
import org.mangowall.edge.traffic.RunnerConnections;
import org.mangowall.edge.wire.HttpMessageCodec;
import org.mangowall.http.StrictClientCodec;

/**
 * Warms up the JVM with synthetic requests, so that the data path is loaded and compiled before the first real ones.
 *
 * <p>A synthetic caller, host and runner communicate over the loopback interface, with their own thread and state;
 * their requests appear neither in the metrics nor in the log.
 */
public final class JvmWarmUp implements AutoCloseable {

    /** Enough requests for the JVM to compile the data path. */
    public static final int COMPILING_REQUESTS = 300;
    /** Enough requests to load the classes of the data path. */
    static final int CLASS_LOADING_REQUESTS = 20;

    static final String HOST_NAME = "rehearsal.example";
    static final String KEY = "rehearsal-key";
    static final String STREAM_PREFIX = "/streams/";
    static final String CALL_PREFIX = "/calls/";

    private static final String NAME = "rehearsal";
    private static final long HELD_BYTES = 1 << 24;
    private static final int MAX_BODY_BYTES = 65_536;
    private static final int CONNECTIONS = 8;
    private static final int SLOTS = 4;
    private static final Duration TIMEOUT = Duration.ofSeconds(10);
    private static final EdgeBounds BOUNDS =
            new EdgeBounds(1, 1, TimeUnit.SECONDS.toNanos(1), TimeUnit.SECONDS.toNanos(1));
    private static final EngineTraits ENGINE = new EngineTraits(SLOTS, 1_000_000, 1, 1, false);

    private final HttpMessageCodec messages;
    private final AtomicInteger servedCount = new AtomicInteger();
    private final EventLoopGroup group = new NioEventLoopGroup(1);
    private final DecisionLog log = new DecisionLog(OutputStream.nullOutputStream(), Clock.systemUTC(), NAME);

    /** Creates a warm-up with the message format of a platform. */
    public JvmWarmUp(HttpMessageCodec messages) {
        this.messages = messages;
    }

    /** Sends the requests and then closes this object; returns immediately. */
    public void start(int requestCount) {
        Channel runner = bind(new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                channel.pipeline()
                        .addLast(
                                new HttpServerCodec(),
                                new HttpObjectAggregator(MAX_BODY_BYTES),
                                new WarmUpRunner(messages));
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
                                        new StrictClientCodec(),
                                        new HttpObjectAggregator(MAX_BODY_BYTES),
                                        new WarmUpCaller(
                                                messages,
                                                requestCount,
                                                servedCount::incrementAndGet,
                                                JvmWarmUp.this::close));
                    }
                })
                .connect(host.localAddress());
    }

    /** Returns how many requests got a complete response of the runner. */
    public int servedRequests() {
        return servedCount.get();
    }

    /** Waits until the warm-up is complete, at most 10 seconds. */
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
        FleetLoad fleet = new FleetLoad(NAME, BOUNDS.shareWindowNanos());
        EdgeContext context = new EdgeContext(
                messages,
                fleet,
                BOUNDS,
                new HeldMemory(HELD_BYTES),
                log,
                new EdgeMetrics(),
                new TrafficMeter(),
                group.next(),
                System::nanoTime,
                () -> 0,
                event -> {},
                () -> 0,
                NAME);
        context.install(new RouteTable(
                1,
                List.of(route(STREAM_PREFIX, RequestKind.RESUMABLE_STREAM), route(CALL_PREFIX, RequestKind.IDEMPOTENT)),
                List.of(service(STREAM_PREFIX, Optional.of(ENGINE)), service(CALL_PREFIX, Optional.empty())),
                true,
                Map.of(KEY, NAME),
                CallerLimits.DEFAULT,
                1));
        for (String service : List.of(STREAM_PREFIX, CALL_PREFIX)) {
            RunnerEntry entry = new RunnerEntry(service, 0, service, "", runner, NAME, SLOTS, false, Duration.ZERO);
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
