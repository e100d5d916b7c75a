package org.mangowall.standin.platform;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;

/** A token bucket rate limiter that allows bursts of one second's worth of requests. */
final class TokenBucket {

    private final Clock clock;
    private final double callsPerSecond;
    private double tokens;
    private Instant refilledAt;

    TokenBucket(Clock clock, double callsPerSecond) {
        this.clock = clock;
        this.callsPerSecond = callsPerSecond;
        this.tokens = callsPerSecond;
        this.refilledAt = clock.instant();
    }

    boolean tryAcquire() {
        refill();
        if (tokens < 1) {
            return false;
        }
        tokens -= 1;
        return true;
    }

    private void refill() {
        Instant now = clock.instant();
        double elapsedSeconds = Duration.between(refilledAt, now).toNanos() / 1e9;
        tokens = Math.min(callsPerSecond, tokens + elapsedSeconds * callsPerSecond);
        refilledAt = now;
    }
}
