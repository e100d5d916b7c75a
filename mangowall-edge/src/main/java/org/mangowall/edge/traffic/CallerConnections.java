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
import org.mangowall.edge.log.GuardedTask;
import org.mangowall.edge.log.TrafficMeter;
import org.mangowall.edge.overload.DescriptorBudget;

/** Accepts the callers' connections of this host and enforces their timeouts. */
public final class CallerConnections extends ChannelInitializer<Channel> {

    private static final long TIMEOUT_CHECK_MILLIS = 250;

    private final EdgeContext context;
    private final RunnerConnections runners;
    private final int descriptors;
    private final CallerRoom room;
    private final Set<CallerConnection> connections = new LinkedHashSet<>();

    /** Schedules the timeout checks; there are descriptors enough for all connections. */
    public CallerConnections(EdgeContext context, RunnerConnections runners) {
        this(context, runners, Integer.MAX_VALUE);
    }

    /**
     * Schedules the timeout checks.
     *
     * @param descriptors how many descriptors the process may have
     */
    public CallerConnections(EdgeContext context, RunnerConnections runners, int descriptors) {
        this.context = context;
        this.runners = runners;
        this.descriptors = descriptors;
        this.room = new CallerRoom(context);
        context.loop()
                .scheduleAtFixedRate(
                        new GuardedTask(context.log(), "caller-timeouts", this::checkTimeouts),
                        TIMEOUT_CHECK_MILLIS,
                        TIMEOUT_CHECK_MILLIS,
                        TimeUnit.MILLISECONDS);
    }

    @Override
    protected void initChannel(Channel channel) {
        if (channel instanceof SocketChannel) {
            TcpKeepAlive.apply(channel);
        }
        CallerConnection connection = new CallerConnection(context, runners, this);
        channel.pipeline()
                .addLast(
                        context.traffic().counter(TrafficMeter.Endpoint.CALLER),
                        new BytesReceivedHandler(connection),
                        new StrictRequestDecoder(() -> context.callerLimits().headerBytes()),
                        new HttpResponseEncoder(),
                        connection);
    }

    void add(CallerConnection connection) {
        connections.add(connection);
        room.add(connection);
    }

    void remove(CallerConnection connection) {
        connections.remove(connection);
        room.remove(connection);
    }

    /** Returns what keeps room for everything else that needs descriptors. */
    public CallerRoom room() {
        return room;
    }

    /** Returns the number of open connections. */
    public int size() {
        return connections.size();
    }

    /** The number of connections with a request that is being read or processed, or a response that is being sent. */
    public long activeRequests() {
        return connections.stream().filter(CallerConnection::isBusy).count();
    }

    /** Closes the connections without a request. */
    public void closeIdle() {
        List.copyOf(connections).forEach(CallerConnection::closeIfIdle);
    }

    /** Gives all requests that are being read or processed their final response: the host ends. */
    public void endRequests() {
        List.copyOf(connections).forEach(CallerConnection::endRequest);
    }

    void checkTimeouts() {
        long now = context.now();
        List.copyOf(connections).forEach(connection -> connection.checkTimeouts(now));
        room.setLimit(new DescriptorBudget(descriptors, context.fleet().hostCount(), runners.usefulConnections())
                .callerConnections());
    }

    /** Reports the arrival of bytes, so that the read timeout starts before the request head is complete. */
    private static final class BytesReceivedHandler extends ChannelInboundHandlerAdapter {

        private final CallerConnection connection;

        BytesReceivedHandler(CallerConnection connection) {
            this.connection = connection;
        }

        @Override
        public void channelRead(ChannelHandlerContext handlerContext, Object message) {
            connection.bytesReceived();
            handlerContext.fireChannelRead(message);
        }
    }
}
