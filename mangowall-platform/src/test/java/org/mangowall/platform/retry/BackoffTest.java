package org.mangowall.platform.retry;

import java.time.Duration;
import java.util.stream.LongStream;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class BackoffTest {

    private static final Duration FIRST = Duration.ofMillis(100);
    private static final Duration CAP = Duration.ofSeconds(10);

    @Test
    void delaysAreBetweenHalfOfTheBoundAndTheBoundWhichDoublesUpToTheCap() {
        Backoff backoff = new Backoff(FIRST, CAP, 7);
        long boundMillis = 100;
        for (int failure = 0; failure < 200; failure++) {
            long delay = backoff.next().toMillis();
            assertTrue(delay >= boundMillis / 2 && delay <= boundMillis, "delay " + delay + " for " + boundMillis);
            boundMillis = Math.min(CAP.toMillis(), boundMillis * 2);
        }
    }

    @Test
    void resetReturnsToTheFirstDelay() {
        Backoff backoff = new Backoff(FIRST, CAP, 7);
        for (int failure = 0; failure < 20; failure++) {
            backoff.next();
        }
        backoff.reset();
        assertTrue(backoff.next().compareTo(FIRST) <= 0);
        assertEquals(1, backoff.failures());
    }

    @Test
    void differentSeedsGiveDifferentDelays() {
        long distinct = LongStream.range(0, 360)
                .map(seed -> {
                    Backoff backoff = new Backoff(CAP, CAP, seed);
                    return backoff.next().toMillis();
                })
                .distinct()
                .count();
        assertTrue(distinct > 300, "only " + distinct + " different delays");
    }
}
