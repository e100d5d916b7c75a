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
 * The connections of a router to all other routers.
 *
 * <p>Each router opens one connection to every router to which it sends messages, and receives the answers to its
 * requests on it. A pair of routers therefore has at most two connections, and a request depends on exactly one.
 */
public final class PeerNetwork implements AutoCloseable {

    private static final Duration INITIAL_BACKOFF = Duration.ofMillis(50);
    private static final Duration MAXIMUM_BACKOFF = Duration.ofSeconds(2);

    private final RouterIdentity identity;
    private final PeerSettings settings;
    private final RouterMetrics metrics;
    private final Clock clock;
    private final EventLoopGroup eventLoops;
    private final PeerListener listener;
    private final long seed;
    private final AtomicLong connectionEpochs;
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
        this.connectionEpochs = new AtomicLong(identity.incarnation());
    }

    /**
     * Listens for connections from other routers.
     *
     * @return the port that was bound
     * @throws MangowallException with {@link FailureCode#ADDRESS_UNUSABLE} when the address can't be bound
     */
    public int bind(InetSocketAddress address) {
        ChannelFuture bindAttempt = new ServerBootstrap()
                .group(eventLoops)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(initializer(channel -> new PeerConnection(channel, metrics, false, 0), listener))
                .bind(address)
                .awaitUninterruptibly();
        if (!bindAttempt.isSuccess()) {
            throw new MangowallException(
                    FailureCode.ADDRESS_UNUSABLE, "can't listen for routers on " + address, bindAttempt.cause());
        }
        channels.add(bindAttempt.channel());
        return ((InetSocketAddress) bindAttempt.channel().localAddress()).getPort();
    }

    /** Applies the addresses of a new view and closes the links to routers that are not in it. */
    public void update(FleetView view) {
        for (FleetMember member : view.members().values()) {
            if (!member.name().equals(identity.name())) {
                InetSocketAddress address = new InetSocketAddress(member.host(), member.peerPort());
                linkTo(member.name(), address).setAddress(address);
            }
        }
        links.forEach((name, link) -> {
            if (view.member(name).isEmpty()) {
                links.remove(name);
                link.close();
            }
        });
    }

    private PeerLink linkTo(RouterName name, InetSocketAddress address) {
        return links.computeIfAbsent(name, key -> {
            Backoff backoff = new Backoff(INITIAL_BACKOFF, MAXIMUM_BACKOFF, seed + key.hashCode());
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
     * @param beforeSend called with the connection immediately before the message is written to it
     * @param onDropped called when it is certain that nothing was written
     */
    public void send(RouterName to, PeerMessage message, Consumer<PeerConnection> beforeSend, Runnable onDropped) {
        PeerLink link = links.get(to);
        if (link == null) {
            onDropped.run();
            return;
        }
        link.send(new PendingMessage(message, beforeSend, onDropped));
    }

    private void dial(PeerLink link, InetSocketAddress address) {
        long epoch = connectionEpochs.incrementAndGet();
        new Bootstrap()
                .group(eventLoops)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int)
                        settings.connectTimeout().toMillis())
                .handler(initializer(
                        channel -> new PeerConnection(channel, metrics, true, epoch),
                        new OutgoingConnectionListener(link, listener)))
                .connect(address)
                .addListener((ChannelFuture connectAttempt) -> {
                    if (!connectAttempt.isSuccess()) {
                        link.connectFailed();
                    }
                });
    }

    private ChannelInitializer<Channel> initializer(
            java.util.function.Function<Channel, PeerConnection> connectionFactory, PeerListener channelListener) {
        PeerMessage.Hello hello = new PeerMessage.Hello(
                PeerFrameCodec.PROTOCOL_VERSION, identity.name(), identity.incarnation(), identity.zone());
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                channels.add(channel);
                PeerConnection connection = connectionFactory.apply(channel);
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
