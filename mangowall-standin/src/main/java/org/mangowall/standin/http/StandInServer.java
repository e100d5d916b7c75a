package org.mangowall.standin.http;

import java.net.InetSocketAddress;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpServerKeepAliveHandler;
import org.mangowall.kernel.failure.FailureCode;
import org.mangowall.kernel.failure.MangowallException;

/** An HTTP/1.1 server whose connections all run on one event loop, so that its handler needs no locks. */
public final class StandInServer implements AutoCloseable {

    private static final int MAXIMUM_BODY_BYTES = 16 * 1024 * 1024;

    private final EventLoop eventLoop;
    private final ChannelGroup connections;
    private final Channel listener;
    private boolean refusing;

    private StandInServer(EventLoop eventLoop, InetSocketAddress address, ExchangeHandler handler) {
        this.eventLoop = eventLoop;
        this.connections = new DefaultChannelGroup(eventLoop);
        this.listener = bind(address, handler);
    }

    /**
     * Starts the server.
     *
     * @param eventLoop runs all connections and the handler
     * @param address the address to listen on; port 0 selects a free one
     * @param handler handles the requests
     * @throws MangowallException with {@link FailureCode#ADDRESS_UNUSABLE} when the address can't be bound
     */
    public static StandInServer start(EventLoop eventLoop, InetSocketAddress address, ExchangeHandler handler) {
        return new StandInServer(eventLoop, address, handler);
    }

    private Channel bind(InetSocketAddress address, ExchangeHandler handler) {
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(eventLoop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.SO_BACKLOG, 1024)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        initializeConnection(channel, handler);
                    }
                });
        var bound = bootstrap.bind(address).awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new MangowallException(
                    FailureCode.ADDRESS_UNUSABLE, "can't listen on " + address + ": " + bound.cause(), bound.cause());
        }
        return bound.channel();
    }

    private void initializeConnection(Channel channel, ExchangeHandler handler) {
        if (refusing) {
            resetConnection(channel);
            return;
        }
        connections.add(channel);
        channel.pipeline()
                .addLast("silence", new SilencingHandler())
                .addLast(new HttpServerCodec())
                .addLast(new HttpServerKeepAliveHandler())
                .addLast(new HttpObjectAggregator(MAXIMUM_BODY_BYTES))
                .addLast(new ExchangeDispatcher(handler));
    }

    /** Returns the event loop of all connections. */
    public EventLoop eventLoop() {
        return eventLoop;
    }

    /** Returns the TCP port on which the server listens. */
    public int port() {
        return ((InetSocketAddress) listener.localAddress()).getPort();
    }

    /** Returns the number of open connections. */
    public int openConnections() {
        return connections.size();
    }

    /** Silences all connections except the exchange's permanently: they stay open, but nothing is read or sent. */
    public void silenceConnectionsExcept(HttpExchange exchange) {
        for (Channel connection : connections) {
            if (!exchange.usesConnection(connection)) {
                connection.pipeline().get(SilencingHandler.class).silence();
            }
        }
    }

    /** Resets all connections. */
    public void resetConnections() {
        for (Channel connection : connections) {
            resetConnection(connection);
        }
    }

    /** Sets whether new connections are reset as soon as they are accepted. */
    public void refuseConnections(boolean refuse) {
        refusing = refuse;
    }

    private static void resetConnection(Channel channel) {
        channel.config().setOption(ChannelOption.SO_LINGER, 0);
        channel.close();
    }

    @Override
    public void close() {
        listener.close().awaitUninterruptibly();
        connections.close().awaitUninterruptibly();
    }
}
