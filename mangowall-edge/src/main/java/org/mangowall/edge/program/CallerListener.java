package org.mangowall.edge.program;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import java.util.function.LongSupplier;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import org.mangowall.edge.log.DecisionLog;
import org.mangowall.edge.log.EdgeMetrics;
import org.mangowall.edge.log.GuardedTask;
import org.mangowall.edge.overload.EntryGate;

/**
 * The listening socket for callers; it is closed, so that connections are refused, while the entry gate is, or while
 * there is no room for them.
 */
final class CallerListener {

    private static final long CHECK_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(50);
    private static final long REBIND_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    private static final double NANOS_PER_MILLI = 1e6;

    private final ServerBootstrap bootstrap;
    private final EventLoop loop;
    private final LongSupplier nanoClock;
    private final DecisionLog log;
    private final EdgeMetrics metrics;
    private final EntryGate gate;
    private Optional<Channel> channel = Optional.empty();
    private OwnDelays delays;
    private Consumer<Boolean> changeListener = isAccepting -> {};
    private double loopDelayMillis;
    private boolean hasRoom = true;
    private boolean isEnded;

    /**
     * Creates a listener that isn't bound.
     *
     * @param bootstrap has the address and the handler of the connections
     */
    CallerListener(
            ServerBootstrap bootstrap, EventLoop loop, LongSupplier nanoClock, DecisionLog log, EdgeMetrics metrics) {
        this.bootstrap = bootstrap;
        this.loop = loop;
        this.nanoClock = nanoClock;
        this.log = log;
        this.metrics = metrics;
        this.gate = new EntryGate(nanoClock.getAsLong());
    }

    /** Binds the socket for the first time; the future fails if the address can't be used. */
    ChannelFuture bind() {
        ChannelFuture binding = bootstrap.bind();
        binding.addListener(done -> {
            if (done.isSuccess()) {
                bound(binding.channel());
            }
        });
        return binding;
    }

    private void bound(Channel listener) {
        if (!isAccepting() || channel.isPresent()) {
            listener.close();
        } else {
            channel = Optional.of(listener);
        }
    }

    /** Binds the socket again; another process may have taken the address for a while. */
    private void rebind() {
        if (!isAccepting() || channel.isPresent()) {
            return;
        }
        ChannelFuture binding = bootstrap.bind();
        binding.addListener(done -> {
            if (done.isSuccess()) {
                bound(binding.channel());
                return;
            }
            log.write("caller-listener-failed", line -> line.writeStringField("reason", String.valueOf(done.cause())));
            loop.schedule(
                    new GuardedTask(log, "caller-listener", this::rebind), REBIND_INTERVAL_NANOS, TimeUnit.NANOSECONDS);
        });
    }

    /**
     * Delays of this host's own, in milliseconds.
     *
     * @param queueMillis how long the oldest request that has arrived has been waiting for the processor
     * @param pathMillis the delay of the host's own network path
     * @param boundMillis the delay that callers can bear
     */
    record OwnDelays(DoubleSupplier queueMillis, DoubleSupplier pathMillis, DoubleSupplier boundMillis) {}

    /**
     * Refuses connections from now on while this host is behind.
     *
     * @param newChangeListener gets whether connections are accepted, at each change
     */
    void startGate(OwnDelays newDelays, Consumer<Boolean> newChangeListener) {
        delays = newDelays;
        changeListener = newChangeListener;
        scheduleCheck();
    }

    private void scheduleCheck() {
        long dueAt = nanoClock.getAsLong() + CHECK_INTERVAL_NANOS;
        loop.schedule(
                () -> {
                    loopDelayMillis = (nanoClock.getAsLong() - dueAt) / NANOS_PER_MILLI;
                    checkGate();
                    if (!isEnded) {
                        scheduleCheck();
                    }
                },
                CHECK_INTERVAL_NANOS,
                TimeUnit.NANOSECONDS);
    }

    /** Opens or closes the gate by the delays that this host has now. */
    void checkGate() {
        new GuardedTask(log, "entry-gate", this::check).run();
    }

    private void check() {
        double queue = delays.queueMillis().getAsDouble();
        double pathDelay = delays.pathMillis().getAsDouble();
        double bound = delays.boundMillis().getAsDouble();
        double delay = Math.max(loopDelayMillis, pathDelay);
        if (isEnded || !gate.update(queue, delay, bound, nanoClock.getAsLong())) {
            return;
        }
        log.write("entry-gate", line -> {
            line.writeBooleanField("isOpen", gate.isOpen());
            line.writeNumberField("deferredMillis", Math.round(queue));
            line.writeNumberField("pathDelayMillis", Math.round(pathDelay));
            line.writeNumberField("loopDelayMillis", Math.round(loopDelayMillis));
            line.writeNumberField("boundMillis", Math.round(bound));
        });
        metrics.recordEntryGate(gate.isOpen(), gate.closedSeconds());
        if (hasRoom) {
            applyAccepting();
        }
    }

    /** Refuses connections, or accepts them again, by whether this host has room for them. */
    void roomChanged(boolean newHasRoom) {
        hasRoom = newHasRoom;
        if (gate.isOpen()) {
            applyAccepting();
        }
    }

    private void applyAccepting() {
        changeListener.accept(isAccepting());
        if (isAccepting()) {
            rebind();
        } else {
            closeSocket();
        }
    }

    private boolean isAccepting() {
        return !isEnded && hasRoom && gate.isOpen();
    }

    /** Closes the socket for good. */
    void end() {
        isEnded = true;
        closeSocket();
    }

    private void closeSocket() {
        channel.ifPresent(Channel::close);
        channel = Optional.empty();
    }
}
