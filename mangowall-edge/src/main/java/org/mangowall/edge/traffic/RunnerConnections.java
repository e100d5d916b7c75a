package org.mangowall.edge.traffic;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponseDecoder;
import org.mangowall.edge.model.RunnerEntry;
import org.mangowall.edge.model.ServiceDescription;

/** The connections of this host to all runners. */
public final class RunnerConnections {

    /** A runner in the same region answers a new connection within a few milliseconds. */
    private static final int CONNECT_TIMEOUT_MILLIS = 400;
    /** The part of a runner's connections that the hosts use together; the rest covers hosts that come and go. */
    private static final double USED_SHARE = 0.85;

    private static final int LEAST_CONNECTIONS = 2;
    private static final long SWEEP_MILLIS = 500;

    private final EdgeContext context;
    private final Map<String, RunnerPool> pools = new HashMap<>();

    /** Starts without connections. */
    public RunnerConnections(EdgeContext context) {
        this.context = context;
        context.loop().scheduleAtFixedRate(this::sweep, SWEEP_MILLIS, SWEEP_MILLIS, TimeUnit.MILLISECONDS);
    }

    /**
     * Gives an unused connection to a runner, or makes one.
     *
     * @param receiver gets the connection, or the reason why there is none
     */
    void acquire(RunnerEntry runner, Consumer<Acquired> receiver) {
        RunnerPool pool = pools.compute(
                runner.identifier(),
                (name, known) -> known != null && known.runner().isSameStart(runner)
                        ? known
                        : new RunnerPool(runner, context::now));
        Optional<RunnerConnection> idle = pool.takeIdle();
        if (idle.isPresent()) {
            receiver.accept(new Acquired.Ready(idle.get()));
            return;
        }
        if (pool.size() >= mostConnections(runner.service())) {
            receiver.accept(new Acquired.UsedUp());
            return;
        }
        connect(pool, receiver);
    }

    private int mostConnections(String service) {
        int hosts = Math.max(1, context.fleet().hostCount());
        int all = context.table()
                .flatMap(table -> table.service(service))
                .map(ServiceDescription::mostConnections)
                .orElse(LEAST_CONNECTIONS);
        return Math.max(LEAST_CONNECTIONS, (int) (all * USED_SHARE / hosts));
    }

    private void connect(RunnerPool pool, Consumer<Acquired> receiver) {
        RunnerConnection connection = new RunnerConnection(context.messages(), pool);
        pool.beginConnecting();
        ChannelFuture connecting = new Bootstrap()
                .group(context.loop())
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        TcpKeepAlive.apply(channel);
                        channel.pipeline().addLast(new HttpRequestEncoder(), new HttpResponseDecoder(), connection);
                    }
                })
                .connect(pool.runner().address());
        connecting.addListener(done -> {
            pool.endConnecting();
            if (done.isSuccess()) {
                pool.connected(connection);
                receiver.accept(new Acquired.Ready(connection));
            } else {
                receiver.accept(new Acquired.Unreachable(String.valueOf(done.cause())));
            }
        });
    }

    private void sweep() {
        Iterator<RunnerPool> each = pools.values().iterator();
        while (each.hasNext()) {
            RunnerPool pool = each.next();
            pool.closeExpired();
            if (context.fleet().runner(pool.runner().identifier()).isEmpty()) {
                pool.closeIdle();
                if (pool.isEmpty()) {
                    each.remove();
                }
            }
        }
    }
}
