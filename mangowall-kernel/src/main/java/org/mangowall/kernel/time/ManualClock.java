package org.mangowall.kernel.time;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;

/** A clock that advances only when told to, for tests and simulations. */
public final class ManualClock extends Clock {

    private volatile Instant now;

    /** Starts at the given instant. */
    public ManualClock(Instant start) {
        this.now = start;
    }

    /**
     * Advances the clock.
     *
     * @throws IllegalArgumentException if the step is negative
     */
    public void advance(Duration step) {
        if (step.isNegative()) {
            throw new IllegalArgumentException("a clock can't be set back");
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
