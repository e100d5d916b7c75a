package org.mangowall.edge.mirror;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.mangowall.edge.wire.ObjectKind;

import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against watches that all end late, so that a silent connection to the store shows too late. */
class WatchScheduleTest {

    private static final long MAX_UNCHECKED_NANOS = TimeUnit.MILLISECONDS.toNanos(WatchSchedule.MAX_UNCHECKED_MILLIS);
    private static final int WATCHES = 10_000;

    private record Watch(ObjectKind kind, long end) {}

    /** Watches that end by themselves, and some that end early, since something has changed. */
    @ParameterizedTest
    @ValueSource(doubles = {0, 0.2, 0.9})
    void oneWatchEndsSoonAtAnyTime(double changeShare) {
        Random random = new Random(57);
        WatchSchedule schedule = new WatchSchedule(random::nextDouble);
        List<Watch> waiting = new ArrayList<>();
        for (ObjectKind kind : List.of(ObjectKind.CONFIGURATION, ObjectKind.RUNNER, ObjectKind.CLOSED_ZONE)) {
            waiting.add(new Watch(kind, schedule.begin(kind, 0).toNanos()));
        }
        long now = 0;
        for (int count = 0; count < WATCHES; count++) {
            Watch next =
                    waiting.stream().min(Comparator.comparingLong(Watch::end)).orElseThrow();
            assertTrue(next.end() - now <= MAX_UNCHECKED_NANOS, "no watch ends within the bound");
            Watch ending = next;
            if (random.nextDouble() < changeShare) {
                ending = waiting.get(random.nextInt(waiting.size()));
                now += (long) (random.nextDouble() * (next.end() - now));
            } else {
                now = next.end();
            }
            waiting.remove(ending);
            schedule.end(ending.kind());
            long end = now + schedule.begin(ending.kind(), now).toNanos();
            waiting.add(new Watch(ending.kind(), end));
        }
        double perSecond = WATCHES / (now / 1e9);
        assertTrue(changeShare > 0 || perSecond < 1.1, perSecond + " watches per second");
    }
}
