package org.mangowall.router.peer;

import java.net.InetSocketAddress;
import java.time.Clock;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.flush.FlushConsolidationHandler;
import io.netty.handler.timeout.IdleStateHandler;
import io.netty.util.concurrent.GlobalEventExecutor;
import org.mangowall.kernel.failure.FailureCode;
import org.mangowall.kernel.failure.MangowallException;
import org.mangowall.kernel.name.RouterName;
import org.mangowall.platform.retry.Backoff;
import org.mangowall.policy.RouterIdentity;
import org.mangowall.policy.fleet.FleetMember;
import org.mangowall.policy.fleet.FleetView;
import org.mangowall.protocol.PeerFrameCodec;
import org.mangowall.protocol.PeerMessage;
import org.mangowall.router.PeerSettings;
import org.mangowall.router.metrics.RouterMetrics;

/**
 * All connections to other routers.
 *
 * <p>Each router opens one connection to every router to which it has something to say; answers to its requests come
 * back on it. So a pair of routers has at most two, and a request depends on exactly one.
 */
public final class PeerNetwork implements AutoCloseable {

    private static final Duration FIRST_BACKOFF = Duration.ofMillis(50);
    private static final Duration LONGEST_BACKOFF = Duration.ofSeconds(2);

    private final RouterIdentity identity;
    private final PeerSettings settings;
    private final RouterMetrics metrics;
    private final Clock clock;
    private final EventLoopGroup eventLoops;
    private final PeerListener listener;
    private final long seed;
    private final AtomicLong epochs;
    private final Map<RouterName, PeerLink> links = new ConcurrentHashMap<>();
    private final ChannelGroup channels = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);

    /** Creates the network of a router; nothing is bound or opened yet. */
    public PeerNetwork(
            RouterIdentity identity,
            PeerSettings settings,
            RouterMetrics metrics,
            Clock clock,
            EventLoopGroup eventLoops,
            PeerListener listener,
            long seed) {
        this.identity = identity;
        this.settings = settings;
        this.metrics = metrics;
        this.clock = clock;
        this.eventLoops = eventLoops;
        this.listener = listener;
        this.seed = seed;
        this.epochs = new AtomicLong(identity.incarnation());
    }

    /**
     * Listens for other routers.
     *
     * @return the port
     * @throws MangowallException with {@link FailureCode#ADDRESS_UNUSABLE}
     */
    public int bind(InetSocketAddress address) {
        ChannelFuture bound = new ServerBootstrap()
                .group(eventLoops)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(initializer(channel -> new PeerConnection(channel, metrics, false, 0), listener))
                .bind(address)
                .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new MangowallException(
                    FailureCode.ADDRESS_UNUSABLE, "can't listen for routers on " + address, bound.cause());
        }
        channels.add(bound.channel());
        return ((InetSocketAddress) bound.channel().localAddress()).getPort();
    }

    /** Learns the addresses of all routers. */
    public void update(FleetView view) {
        for (FleetMember member : view.members().values()) {
            if (!member.name().equals(identity.name())) {
                InetSocketAddress address = new InetSocketAddress(member.host(), member.peerPort());
                link(member.name(), address).moveTo(address);
            }
        }
        links.forEach((name, link) -> {
            if (view.member(name).isEmpty()) {
                links.remove(name);
                link.close();
            }
        });
    }

    private PeerLink link(RouterName name, InetSocketAddress address) {
        return links.computeIfAbsent(name, key -> {
            Backoff backoff = new Backoff(FIRST_BACKOFF, LONGEST_BACKOFF, seed + key.hashCode());
            return new PeerLink(clock, backoff, this::dial, settings.pendingMessages(), address);
        });
    }

    /**
     * Sends a message, opening a connection if needed.
     *
     * @return false when it is certain that it was dropped
     */
    public boolean send(RouterName to, PeerMessage message) {
        PeerLink link = links.get(to);
        return link != null && link.send(PendingMessage.of(message));
    }

    /**
     * Sends a message on which a request depends.
     *
     * @param beforeSend is told the connection right before the message is written to it
     * @param dropped is called instead when it is certain that nothing was written
     */
    public void send(RouterName to, PeerMessage message, Consumer<PeerConnection> beforeSend, Runnable dropped) {
        PeerLink link = links.get(to);
        if (link == null) {
            dropped.run();
            return;
        }
        link.send(new PendingMessage(message, beforeSend, dropped));
    }

    private void dial(PeerLink link, InetSocketAddress address) {
        long epoch = epochs.incrementAndGet();
        new Bootstrap()
                .group(eventLoops)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int)
                        settings.connectTimeout().toMillis())
                .handler(initializer(
                        channel -> new PeerConnection(channel, metrics, true, epoch),
                        new DialedListener(link, listener)))
                .connect(address)
                .addListener((ChannelFuture connected) -> {
                    if (!connected.isSuccess()) {
                        link.failed();
                    }
                });
    }

    private ChannelInitializer<Channel> initializer(
            java.util.function.Function<Channel, PeerConnection> makeConnection, PeerListener channelListener) {
        PeerMessage.Hello hello = new PeerMessage.Hello(
                PeerFrameCodec.PROTOCOL_VERSION, identity.name(), identity.incarnation(), identity.zone());
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                channels.add(channel);
                PeerConnection connection = makeConnection.apply(channel);
                long heartbeatMillis = settings.heartbeatPeriod().toMillis();
                channel.pipeline()
                        .addLast(new FlushConsolidationHandler())
                        .addLast(new IdleStateHandler(heartbeatMillis, 0, 0, TimeUnit.MILLISECONDS))
                        .addLast(new LengthFieldBasedFrameDecoder(
                                PeerFrameCodec.MAXIMUM_FRAME_BYTES,
                                0,
                                PeerFrameCodec.LENGTH_BYTES,
                                0,
                                PeerFrameCodec.LENGTH_BYTES))
                        .addLast(new PeerFrameHandler(connection, hello, settings, channelListener, metrics));
            }
        };
    }

    @Override
    public void close() {
        channels.close().awaitUninterruptibly();
    }
}
