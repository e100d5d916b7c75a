package org.mangowall.platform.retry;

import java.time.Duration;
import java.util.SplittableRandom;

/**
 * Delays between repeated calls: they double up to a cap, each drawn evenly between half and the whole.
 *
 * <p>The same seed gives the same delays. It is confined to one thread.
 */
public final class Backoff {

    private static final int MAXIMUM_DOUBLINGS = 30;

    private final long firstMillis;
    private final long capMillis;
    private final SplittableRandom random;
    private int failures;

    /**
     * Starts with no failures.
     *
     * @throws IllegalArgumentException unless the first delay is positive and not above the cap
     */
    public Backoff(Duration first, Duration cap, long seed) {
        if (first.toMillis() <= 0 || cap.compareTo(first) < 0) {
            throw new IllegalArgumentException("the first delay must be positive and at most the cap");
        }
        this.firstMillis = first.toMillis();
        this.capMillis = cap.toMillis();
        this.random = new SplittableRandom(seed);
    }

    /** Counts a failure and gives the delay before the next call. */
    public Duration next() {
        long whole = Math.min(capMillis, firstMillis << Math.min(failures, MAXIMUM_DOUBLINGS));
        failures++;
        return Duration.ofMillis(random.nextLong((whole + 1) / 2, whole + 1));
    }

    /** Forgets the failures after a call that succeeded. */
    public void reset() {
        failures = 0;
    }

    /** How many failures came since the last success. */
    public int failures() {
        return failures;
    }
}
