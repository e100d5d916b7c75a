package org.mangowall.edge.traffic;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import org.mangowall.edge.log.GuardedTask;
import org.mangowall.edge.log.TrafficMeter;
import org.mangowall.edge.model.RunnerEntry;
import org.mangowall.edge.model.ServiceDescription;
import org.mangowall.kernel.http.StrayPlace;

/** The connection pools of this host, one for each runner. */
public final class RunnerConnections {

    /** A runner in the same region accepts a connection within a few milliseconds. */
    static final int CONNECT_TIMEOUT_MILLIS = 400;
    /** Fraction of a runner's connection limit that all hosts share; the rest covers hosts that join or leave. */
    private static final double USABLE_SHARE = 0.85;

    /** The most that is read from a runner in one turn of the event loop: fast ones must leave time to the others. */
    private static final int MAX_READ_BYTES = 1 << 14;

    private static final int MIN_READ_BYTES = 64;
    private static final int FIRST_READ_BYTES = 2_048;

    private static final int MIN_CONNECTIONS = 2;
    /** A runner queues a few requests more than it has slots, and lost connections are replaced. */
    private static final double CONNECTIONS_PER_SLOT = 1.5;

    private static final String LIMIT_REACHED = "connection limit of this host to the runner reached";
    private static final long SWEEP_INTERVAL_MILLIS = 500;

    private final EdgeContext context;
    private final Map<String, RunnerPool> pools = new HashMap<>();

    /** Creates empty pools and schedules the closing of idle connections. */
    public RunnerConnections(EdgeContext context) {
        this.context = context;
        context.loop()
                .scheduleAtFixedRate(
                        new GuardedTask(context.log(), "runner-connections", this::sweep),
                        SWEEP_INTERVAL_MILLIS,
                        SWEEP_INTERVAL_MILLIS,
                        TimeUnit.MILLISECONDS);
    }

    /**
     * Acquires a connection to a runner: an idle one, or else a new one.
     *
     * @param receiver gets the connection, or the reason for the failure
     */
    void acquire(RunnerEntry runner, Consumer<AcquireResult> receiver) {
        RunnerPool pool = poolOf(runner);
        Optional<RunnerConnection> idle = pool.takeIdle();
        if (idle.isPresent()) {
            receiver.accept(new AcquireResult.Ready(idle.get()));
            return;
        }
        if (pool.size() >= maxConnections(runner.service())) {
            receiver.accept(new AcquireResult.LimitReached(LIMIT_REACHED));
            return;
        }
        connect(pool, receiver);
    }

    /**
     * Opens a connection to a runner; for a call whose response can't be told from a late one to an earlier request.
     *
     * @param receiver gets the connection, or the reason for the failure
     */
    void acquireNew(RunnerEntry runner, Consumer<AcquireResult> receiver) {
        RunnerPool pool = poolOf(runner);
        int most = maxConnections(runner.service());
        if (pool.size() >= most) {
            pool.closeLongestIdle();
        }
        if (pool.size() >= most) {
            receiver.accept(new AcquireResult.LimitReached(LIMIT_REACHED));
            return;
        }
        connect(pool, receiver);
    }

    private RunnerPool poolOf(RunnerEntry runner) {
        return pools.compute(
                runner.identifier(),
                (name, existing) -> existing != null && existing.runner().isSameIncarnation(runner)
                        ? existing
                        : new RunnerPool(runner, context::now, place -> strayBytesReceived(runner, place)));
    }

    private void strayBytesReceived(RunnerEntry runner, StrayPlace place) {
        context.metrics().countStrayBytes(runner.service(), place.label());
        context.log().write("stray-bytes", line -> {
            line.writeStringField("runner", runner.identifier());
            line.writeStringField("place", place.label());
        });
    }

    /** The identifiers of the runners to which this host has no idle connection and may open no other one. */
    Set<String> runnersWithoutConnection() {
        Set<String> full = new HashSet<>();
        pools.forEach((identifier, pool) -> {
            if (!pool.hasIdle() && pool.size() >= maxConnections(pool.runner().service())) {
                full.add(identifier);
            }
        });
        return full;
    }

    /** Returns how many connections this host may need to all runners together. */
    int usefulConnections() {
        long useful = 0;
        for (RunnerEntry runner : context.fleet().runnerEntries()) {
            long forSlots = Math.max(MIN_CONNECTIONS, (long) (CONNECTIONS_PER_SLOT * runner.slots()));
            useful += Math.min(maxConnections(runner.service()), forSlots);
        }
        return (int) Math.min(Integer.MAX_VALUE, useful);
    }

    private int maxConnections(String service) {
        int hosts = Math.max(1, context.fleet().hostCount());
        int serviceLimit = context.table()
                .flatMap(table -> table.service(service))
                .map(ServiceDescription::maxConnections)
                .orElse(MIN_CONNECTIONS);
        return Math.max(MIN_CONNECTIONS, (int) (serviceLimit * USABLE_SHARE / hosts));
    }

    private void connect(RunnerPool pool, Consumer<AcquireResult> receiver) {
        RunnerConnection connection = new RunnerConnection(context.messages(), pool);
        pool.beginConnecting();
        ChannelFuture connecting = new Bootstrap()
                .group(context.loop())
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
                .option(
                        ChannelOption.RCVBUF_ALLOCATOR,
                        new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, FIRST_READ_BYTES, MAX_READ_BYTES)
                                .maxMessagesPerRead(1))
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        TcpKeepAlive.apply(channel);
                        channel.pipeline().addLast(context.traffic().counter(TrafficMeter.Endpoint.RUNNER));
                        connection.addTo(channel.pipeline());
                    }
                })
                .connect(pool.runner().address());
        connecting.addListener(LoopListener.inLoop(context.loop(), done -> {
            pool.endConnecting();
            if (done.isSuccess()) {
                pool.connected(connection);
                context.deferredWork().addUrgent(() -> receiver.accept(stateOf(connection)));
            } else {
                receiver.accept(failed(done.cause()));
            }
        }));
    }

    /** A connection that can't be opened for want of a socket says nothing about the runner. */
    static AcquireResult failed(Throwable cause) {
        return cause instanceof ChannelException
                ? new AcquireResult.LimitReached("this host can open no socket: " + cause)
                : new AcquireResult.Unreachable(String.valueOf(cause));
    }

    private static AcquireResult stateOf(RunnerConnection connection) {
        return connection.isOpen()
                ? new AcquireResult.Ready(connection)
                : new AcquireResult.Unreachable("the runner closed the connection at once");
    }

    private void sweep() {
        Iterator<RunnerPool> iterator = pools.values().iterator();
        while (iterator.hasNext()) {
            RunnerPool pool = iterator.next();
            pool.closeExpired();
            pool.closeIdleAbove(maxConnections(pool.runner().service()));
            if (context.fleet().runner(pool.runner().identifier()).isEmpty()) {
                pool.closeIdle();
                if (pool.isEmpty()) {
                    iterator.remove();
                }
            }
        }
    }
}
