package org.mangowall.edge.program;

import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;

import io.netty.util.concurrent.EventExecutor;

/** Measures how late the event loop runs its tasks: the time for which a request that has arrived isn't read. */
final class LoopDelayMonitor {

    private static final long PROBE_INTERVAL_NANOS = 100_000_000L;
    private static final int PROBES_PER_REPORT = 10;

    private final EventExecutor loop;
    private final LongSupplier nanoClock;
    private final LongConsumer reports;
    private long maxDelayNanos;
    private int probes;

    /**
     * Creates a monitor that isn't started.
     *
     * @param reports gets the longest delay of each second, in nanoseconds
     */
    LoopDelayMonitor(EventExecutor loop, LongSupplier nanoClock, LongConsumer reports) {
        this.loop = loop;
        this.nanoClock = nanoClock;
        this.reports = reports;
    }

    /** Starts to measure; continues until the loop shuts down. */
    void start() {
        long dueAt = nanoClock.getAsLong() + PROBE_INTERVAL_NANOS;
        loop.schedule(() -> probed(dueAt), PROBE_INTERVAL_NANOS, TimeUnit.NANOSECONDS);
    }

    private void probed(long dueAt) {
        maxDelayNanos = Math.max(maxDelayNanos, nanoClock.getAsLong() - dueAt);
        probes += 1;
        if (probes == PROBES_PER_REPORT) {
            reports.accept(maxDelayNanos);
            probes = 0;
            maxDelayNanos = 0;
        }
        start();
    }
}
