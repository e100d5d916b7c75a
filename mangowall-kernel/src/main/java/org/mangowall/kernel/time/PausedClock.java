package org.mangowall.kernel.time;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;

/** A clock that stands still until it is told to advance: for scripted sessions, tests and policy benchmarks. */
public final class PausedClock extends Clock {

    private volatile Instant now;

    /** Starts at the given instant. */
    public PausedClock(Instant start) {
        this.now = start;
    }

    /**
     * Moves the clock on.
     *
     * @throws IllegalArgumentException when the step is negative
     */
    public void advance(Duration step) {
        if (step.isNegative()) {
            throw new IllegalArgumentException("a clock never goes back");
        }
        now = now.plus(step);
    }

    @Override
    public ZoneId getZone() {
        return ZoneOffset.UTC;
    }

    @Override
    public Clock withZone(ZoneId zone) {
        return this;
    }

    @Override
    public Instant instant() {
        return now;
    }
}
