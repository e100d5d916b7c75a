package org.mangowall.kernel.time;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;

/**
 * A clock that starts at the system time and advances with {@link System#nanoTime()}.
 *
 * <p>It never goes back, and it advances while the process is paused, so that a lease holder notices after a pause that
 * its lease has expired.
 */
public final class MonotonicClock extends Clock {

    private final Instant startInstant;
    private final long startNanos;
    private final ZoneId zone;

    /** Starts at the current system time in UTC. */
    public MonotonicClock() {
        this(Instant.now(), System.nanoTime(), ZoneOffset.UTC);
    }

    private MonotonicClock(Instant startInstant, long startNanos, ZoneId zone) {
        this.startInstant = startInstant;
        this.startNanos = startNanos;
        this.zone = zone;
    }

    @Override
    public ZoneId getZone() {
        return zone;
    }

    @Override
    public Clock withZone(ZoneId other) {
        return new MonotonicClock(startInstant, startNanos, other);
    }

    @Override
    public Instant instant() {
        return startInstant.plus(Duration.ofNanos(System.nanoTime() - startNanos));
    }
}
