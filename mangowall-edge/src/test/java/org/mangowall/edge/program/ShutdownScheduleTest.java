package org.mangowall.edge.program;

import java.time.Duration;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against requests that are accepted so late in the grace period that they are cut at its end. */
class ShutdownScheduleTest {

    @ParameterizedTest
    @ValueSource(longs = {1, 100, 1_500, 3_000, 8_000, 60_000})
    void mostOfTheGracePeriodIsLeftForTheLastRequest(long graceMillis) {
        ShutdownSchedule schedule = new ShutdownSchedule(Duration.ofMillis(graceMillis));
        long left = schedule.finishingMillis() - schedule.acceptingMillis();
        assertTrue(left * 10 >= graceMillis * 3, "left " + left);
        assertTrue(schedule.finishingMillis() <= graceMillis);
    }

    @Test
    void eightSecondsLeaveMostOfTheTimeForAcceptedRequests() {
        ShutdownSchedule schedule = new ShutdownSchedule(Duration.ofSeconds(8));
        assertEquals(2_800, schedule.acceptingMillis());
        assertEquals(7_300, schedule.finishingMillis());
    }

    /** Guards against a shutdown that is given up while the final responses are being sent. */
    @ParameterizedTest
    @ValueSource(longs = {500, 800, 1_000, 1_500, 3_000, 8_000, 60_000})
    void finalResponsesAreSentBeforeTheProcessExits(long graceMillis) {
        ShutdownSchedule schedule = new ShutdownSchedule(Duration.ofMillis(graceMillis));
        long checkedEvery = 50;
        assertTrue(schedule.finishingMillis() + checkedEvery + schedule.finalResponsesMillis() < schedule.lastMillis());
        assertTrue(schedule.lastMillis() < graceMillis);
    }
}
