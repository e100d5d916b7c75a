package org.mangowall.platform.retry;

import java.time.Duration;
import java.util.SplittableRandom;

/**
 * Exponential back-off with jitter: the bound doubles with each failure up to a cap, and each delay is drawn uniformly
 * between half of the bound and the bound.
 *
 * <p>The same seed gives the same delays. Not thread-safe.
 */
public final class Backoff {

    private static final int MAXIMUM_DOUBLINGS = 30;

    private final long firstMillis;
    private final long capMillis;
    private final SplittableRandom random;
    private int failures;

    /**
     * Creates a back-off without failures.
     *
     * @throws IllegalArgumentException unless the first delay is positive and at most the cap
     */
    public Backoff(Duration first, Duration cap, long seed) {
        if (first.toMillis() <= 0 || cap.compareTo(first) < 0) {
            throw new IllegalArgumentException("the first delay must be positive and at most the cap");
        }
        this.firstMillis = first.toMillis();
        this.capMillis = cap.toMillis();
        this.random = new SplittableRandom(seed);
    }

    /** Counts a failure and returns the delay before the next call. */
    public Duration next() {
        long boundMillis = Math.min(capMillis, firstMillis << Math.min(failures, MAXIMUM_DOUBLINGS));
        failures++;
        return Duration.ofMillis(random.nextLong((boundMillis + 1) / 2, boundMillis + 1));
    }

    /** Resets the failures after a successful call. */
    public void reset() {
        failures = 0;
    }

    /** The number of failures since the last success. */
    public int failures() {
        return failures;
    }
}
