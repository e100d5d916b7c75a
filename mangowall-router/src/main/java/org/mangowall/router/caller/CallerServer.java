package org.mangowall.router.caller;

import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.flush.FlushConsolidationHandler;
import io.netty.handler.timeout.IdleStateHandler;
import io.netty.util.concurrent.GlobalEventExecutor;
import org.mangowall.kernel.failure.FailureCode;
import org.mangowall.kernel.failure.MangowallException;
import org.mangowall.router.CallerSettings;

/** The HTTP server for callers. */
public final class CallerServer implements AutoCloseable {

    private static final int MAXIMUM_REQUEST_LINE_BYTES = 8192;
    private static final int MAXIMUM_CHUNK_BYTES = 8192;

    private final CallerSettings settings;
    private final EventLoopGroup eventLoops;
    private final EntryRequestHandler requestHandler;
    private final CallerDocuments documents;
    private final Supplier<LifecycleState> state;
    private final ChannelGroup channels = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private volatile Channel serverChannel;

    /** Creates a server that does not listen yet. */
    public CallerServer(
            CallerSettings settings,
            EventLoopGroup eventLoops,
            EntryRequestHandler requestHandler,
            CallerDocuments documents,
            Supplier<LifecycleState> state) {
        this.settings = settings;
        this.eventLoops = eventLoops;
        this.requestHandler = requestHandler;
        this.documents = documents;
        this.state = state;
    }

    /**
     * Starts to listen for callers.
     *
     * @return the port that was bound
     * @throws MangowallException with {@link FailureCode#ADDRESS_UNUSABLE}
     */
    public int bind(InetSocketAddress address) {
        ChannelFuture bindAttempt = new ServerBootstrap()
                .group(eventLoops)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.SO_BACKLOG, 1024)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channels.add(channel);
                        initialize(channel.pipeline());
                    }
                })
                .bind(address)
                .awaitUninterruptibly();
        if (!bindAttempt.isSuccess()) {
            throw new MangowallException(
                    FailureCode.ADDRESS_UNUSABLE, "can't listen for callers on " + address, bindAttempt.cause());
        }
        serverChannel = bindAttempt.channel();
        return ((InetSocketAddress) serverChannel.localAddress()).getPort();
    }

    private void initialize(ChannelPipeline pipeline) {
        long idleMillis = settings.idleTimeout().toMillis();
        pipeline.addLast(new FlushConsolidationHandler())
                .addLast(new IdleStateHandler(0, 0, idleMillis, TimeUnit.MILLISECONDS))
                .addLast(new HttpServerCodec(
                        MAXIMUM_REQUEST_LINE_BYTES, settings.maximumHeaderBytes(), MAXIMUM_CHUNK_BYTES))
                .addLast(new RequestReadTimeoutHandler(settings.readTimeout()))
                .addLast(new BoundedAggregator(settings.maximumBodyBytes()))
                .addLast(new CallerHandler(requestHandler, documents, state));
    }

    /** Stops accepting connections; open ones stay open. */
    public void stopListening() {
        serverChannel.close().awaitUninterruptibly();
    }

    @Override
    public void close() {
        stopListening();
        channels.close().awaitUninterruptibly();
    }
}
