package org.mangowall.claims;

import java.time.Duration;
import java.time.Instant;

/** Lets a partition write at once after a pause, and at a bounded rate in the long run. */
final class WriteBudget {

    private static final double MILLIS_PER_SECOND = 1000;

    private final double writesPerSecond;
    private final int burst;
    private double tokens;
    private Instant updated;

    WriteBudget(double writesPerSecond, int burst, Instant now) {
        this.writesPerSecond = writesPerSecond;
        this.burst = burst;
        this.tokens = burst;
        this.updated = now;
    }

    boolean tryTake(Instant now) {
        double earned = Duration.between(updated, now).toMillis() * writesPerSecond / MILLIS_PER_SECOND;
        tokens = Math.min(burst, tokens + earned);
        updated = now;
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }
}
