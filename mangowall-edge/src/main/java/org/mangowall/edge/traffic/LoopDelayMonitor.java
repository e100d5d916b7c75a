package org.mangowall.edge.traffic;

import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;

import io.netty.util.concurrent.EventExecutor;

/** Measures how late the event loop runs its tasks: the time for which a request that has arrived isn't read. */
public final class LoopDelayMonitor {

    private static final long PROBE_INTERVAL_NANOS = 100_000_000L;
    private static final int PROBES_PER_REPORT = 10;

    private final EventExecutor loop;
    private final LongSupplier nanoClock;
    private LongConsumer reports = delay -> {};
    private boolean isStarted;
    private long nextProbeAt;
    private long maxDelayNanos;
    private int probes;

    /** Creates a monitor that isn't started. */
    LoopDelayMonitor(EventExecutor loop, LongSupplier nanoClock) {
        this.loop = loop;
        this.nanoClock = nanoClock;
    }

    /**
     * Starts to measure; continues until the loop shuts down.
     *
     * @param newReports gets the longest delay of each second, in nanoseconds
     */
    public void start(LongConsumer newReports) {
        reports = newReports;
        isStarted = true;
        scheduleProbe();
    }

    /** How far the loop is behind, in nanoseconds: what is read now may have arrived that long ago. */
    long currentDelayNanos() {
        return isStarted ? Math.max(0, nanoClock.getAsLong() - nextProbeAt) : 0;
    }

    private void scheduleProbe() {
        nextProbeAt = nanoClock.getAsLong() + PROBE_INTERVAL_NANOS;
        loop.schedule(this::probe, PROBE_INTERVAL_NANOS, TimeUnit.NANOSECONDS);
    }

    private void probe() {
        maxDelayNanos = Math.max(maxDelayNanos, nanoClock.getAsLong() - nextProbeAt);
        probes += 1;
        if (probes == PROBES_PER_REPORT) {
            reports.accept(maxDelayNanos);
            probes = 0;
            maxDelayNanos = 0;
        }
        scheduleProbe();
    }
}
