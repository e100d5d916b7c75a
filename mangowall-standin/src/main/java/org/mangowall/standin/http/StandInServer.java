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

/** An HTTP/1.1 server all of whose connections run on one event loop, so that its handler needs no locks. */
public final class StandInServer implements AutoCloseable {

    private static final int MAXIMUM_BODY_BYTES = 16 * 1024 * 1024;

    private final EventLoop eventLoop;
    private final ChannelGroup connections;
    private final Channel listener;
    private boolean refusing;

    private StandInServer(EventLoop eventLoop, InetSocketAddress address, CallHandler handler) {
        this.eventLoop = eventLoop;
        this.connections = new DefaultChannelGroup(eventLoop);
        this.listener = bind(address, handler);
    }

    /**
     * Starts to listen.
     *
     * @param eventLoop runs all connections and the handler
     * @param address where to listen; port 0 takes a free one
     * @param handler answers the calls
     * @throws MangowallException with {@link FailureCode#ADDRESS_UNUSABLE} when the address can't be bound
     */
    public static StandInServer start(EventLoop eventLoop, InetSocketAddress address, CallHandler handler) {
        return new StandInServer(eventLoop, address, handler);
    }

    private Channel bind(InetSocketAddress address, CallHandler handler) {
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(eventLoop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.SO_BACKLOG, 1024)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        acceptConnection(channel, handler);
                    }
                });
        var bound = bootstrap.bind(address).awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new MangowallException(
                    FailureCode.ADDRESS_UNUSABLE, "can't listen on " + address + ": " + bound.cause(), bound.cause());
        }
        return bound.channel();
    }

    private void acceptConnection(Channel channel, CallHandler handler) {
        if (refusing) {
            resetConnection(channel);
            return;
        }
        connections.add(channel);
        channel.pipeline()
                .addLast("silence", new SilenceGate())
                .addLast(new HttpServerCodec())
                .addLast(new HttpServerKeepAliveHandler())
                .addLast(new HttpObjectAggregator(MAXIMUM_BODY_BYTES))
                .addLast(new CallAdapter(handler));
    }

    /** The event loop of all connections. */
    public EventLoop eventLoop() {
        return eventLoop;
    }

    /** The port on which it listens. */
    public int port() {
        return ((InetSocketAddress) listener.localAddress()).getPort();
    }

    /** How many connections are open. */
    public int openConnections() {
        return connections.size();
    }

    /** Makes all connections but the call's silent for good: they stay open, nothing is read or sent. */
    public void silenceConnectionsExcept(HttpCall call) {
        for (Channel connection : connections) {
            if (!call.isOn(connection)) {
                connection.pipeline().get(SilenceGate.class).silence();
            }
        }
    }

    /** Breaks all connections with a reset. */
    public void resetConnections() {
        for (Channel connection : connections) {
            resetConnection(connection);
        }
    }

    /** Resets new connections as soon as they are accepted, until this is called with false. */
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
