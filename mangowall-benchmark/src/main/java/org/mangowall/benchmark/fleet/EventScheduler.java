package org.mangowall.benchmark.fleet;

import java.time.Duration;
import java.time.Instant;
import java.util.PriorityQueue;

import org.mangowall.kernel.time.ManualClock;

/** Discrete-event scheduler that advances a simulated clock from event to event. */
public final class EventScheduler {

    private static final long NANOSECONDS_PER_MICROSECOND = 1_000;

    private final ManualClock clock = new ManualClock(Instant.EPOCH);
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private long nowMicroseconds;
    private long sequence;

    /** A scheduled event; events of the same time run in the order in which they were added. */
    private record Event(long timeMicroseconds, long sequence, Runnable task) implements Comparable<Event> {

        @Override
        public int compareTo(Event other) {
            int byTime = Long.compare(timeMicroseconds, other.timeMicroseconds);
            return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
        }
    }

    /** Returns the simulated clock. */
    public ManualClock clock() {
        return clock;
    }

    /** Returns the current time, in microseconds since the start. */
    public long now() {
        return nowMicroseconds;
    }

    /** Schedules a task after a delay; a negative delay counts as 0. */
    public void after(long delayMicroseconds, Runnable task) {
        sequence++;
        events.add(new Event(nowMicroseconds + Math.max(0, delayMicroseconds), sequence, task));
    }

    /** Schedules a task at a fixed period without end. */
    public void every(long periodMicroseconds, Runnable task) {
        after(periodMicroseconds, () -> {
            task.run();
            every(periodMicroseconds, task);
        });
    }

    /** Runs all events up to and including a time, in microseconds since the start. */
    public void runUntil(long endMicroseconds) {
        while (!events.isEmpty() && events.peek().timeMicroseconds() <= endMicroseconds) {
            Event event = events.poll();
            advanceTo(event.timeMicroseconds());
            event.task().run();
        }
        advanceTo(endMicroseconds);
    }

    private void advanceTo(long timeMicroseconds) {
        clock.advance(Duration.ofNanos((timeMicroseconds - nowMicroseconds) * NANOSECONDS_PER_MICROSECOND));
        nowMicroseconds = timeMicroseconds;
    }
}
