package org.mangowall.claims;

import java.time.Duration;
import java.time.Instant;

/** A token bucket that limits the write rate of a partition and allows a burst after an idle time. */
final class WriteRateLimiter {

    private static final double MILLISECONDS_PER_SECOND = 1000;

    private final double writesPerSecond;
    private final int burst;
    private double tokens;
    private Instant lastRefill;

    WriteRateLimiter(double writesPerSecond, int burst, Instant now) {
        this.writesPerSecond = writesPerSecond;
        this.burst = burst;
        this.tokens = burst;
        this.lastRefill = now;
    }

    boolean tryAcquire(Instant now) {
        double refill = Duration.between(lastRefill, now).toMillis() * writesPerSecond / MILLISECONDS_PER_SECOND;
        tokens = Math.min(burst, tokens + refill);
        lastRefill = now;
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }
}
