package org.mangowall.edge.traffic;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.HttpResponseEncoder;
import org.mangowall.edge.model.CallerLimits;

/** All callers' connections of this host. */
public final class CallerConnections extends ChannelInitializer<Channel> {

    private static final long SWEEP_MILLIS = 250;

    private final EdgeContext context;
    private final RunnerConnections runners;
    private final Set<CallerConnection> open = new LinkedHashSet<>();

    /** Starts without connections. */
    public CallerConnections(EdgeContext context, RunnerConnections runners) {
        this.context = context;
        this.runners = runners;
        context.loop().scheduleAtFixedRate(this::sweep, SWEEP_MILLIS, SWEEP_MILLIS, TimeUnit.MILLISECONDS);
    }

    @Override
    protected void initChannel(Channel channel) {
        if (channel instanceof SocketChannel) {
            TcpKeepAlive.apply(channel);
        }
        int headerBytes =
                context.table().map(table -> table.limits().headerBytes()).orElse(CallerLimits.DEFAULT.headerBytes());
        CallerConnection connection = new CallerConnection(context, runners, this);
        channel.pipeline()
                .addLast(
                        new FirstBytes(connection),
                        new StrictRequestDecoder(headerBytes),
                        new HttpResponseEncoder(),
                        connection);
    }

    void add(CallerConnection connection) {
        open.add(connection);
    }

    void remove(CallerConnection connection) {
        open.remove(connection);
    }

    /** How many requests are under way. */
    public long busy() {
        return open.stream().filter(CallerConnection::isBusy).count();
    }

    /** Closes the connections that carry no request. */
    public void closeQuiet() {
        List.copyOf(open).forEach(CallerConnection::closeIfQuiet);
    }

    private void sweep() {
        long now = context.now();
        List.copyOf(open).forEach(connection -> connection.checkTimes(now));
    }

    /** Notes when a request begins to arrive, before its head is complete. */
    private static final class FirstBytes extends ChannelInboundHandlerAdapter {

        private final CallerConnection connection;

        FirstBytes(CallerConnection connection) {
            this.connection = connection;
        }

        @Override
        public void channelRead(ChannelHandlerContext handlerContext, Object message) {
            connection.bytesArrived();
            handlerContext.fireChannelRead(message);
        }
    }
}
