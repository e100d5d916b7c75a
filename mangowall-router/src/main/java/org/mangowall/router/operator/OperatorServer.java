package org.mangowall.router.operator;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.Optional;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.timeout.ReadTimeoutHandler;
import io.netty.util.concurrent.GlobalEventExecutor;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.mangowall.kernel.failure.FailureCode;
import org.mangowall.kernel.failure.MangowallException;
import org.mangowall.router.caller.BoundedAggregator;
import org.mangowall.router.spi.ConfigurationAccess;

/** The HTTP server for operators and for scraping metrics. */
public final class OperatorServer implements AutoCloseable {

    private static final int MAXIMUM_DOCUMENT_BYTES = 1024 * 1024;
    private static final int IDLE_TIMEOUT_SECONDS = 120;

    private final EventLoopGroup eventLoops;
    private final OperatorDocuments documents;
    private final PrometheusRegistry metrics;
    private final ConfigurationAccess configuration;
    private final OperatorToken token;
    private final ChannelGroup channels = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);

    /** Creates a server that does not listen yet; without a token file, requests need no token. */
    public OperatorServer(
            EventLoopGroup eventLoops,
            OperatorDocuments documents,
            PrometheusRegistry metrics,
            ConfigurationAccess configuration,
            Optional<Path> tokenFile) {
        this.eventLoops = eventLoops;
        this.documents = documents;
        this.metrics = metrics;
        this.configuration = configuration;
        this.token = new OperatorToken(tokenFile);
    }

    /**
     * Starts to listen for operators.
     *
     * @return the port that was bound
     * @throws MangowallException with {@link FailureCode#ADDRESS_UNUSABLE}
     */
    public int bind(InetSocketAddress address) {
        ChannelFuture bindAttempt = new ServerBootstrap()
                .group(eventLoops)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childHandler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channels.add(channel);
                        channel.pipeline()
                                .addLast(new ReadTimeoutHandler(IDLE_TIMEOUT_SECONDS))
                                .addLast(new HttpServerCodec())
                                .addLast(new BoundedAggregator(MAXIMUM_DOCUMENT_BYTES))
                                .addLast(new OperatorHandler(documents, metrics, configuration, token));
                    }
                })
                .bind(address)
                .awaitUninterruptibly();
        if (!bindAttempt.isSuccess()) {
            throw new MangowallException(
                    FailureCode.ADDRESS_UNUSABLE, "can't listen for operators on " + address, bindAttempt.cause());
        }
        channels.add(bindAttempt.channel());
        return ((InetSocketAddress) bindAttempt.channel().localAddress()).getPort();
    }

    @Override
    public void close() {
        channels.close().awaitUninterruptibly();
    }
}
