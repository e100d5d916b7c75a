package org.mangowall.benchmark.fleet;

import java.time.Duration;
import java.time.Instant;
import java.util.PriorityQueue;

import org.mangowall.kernel.time.PausedClock;

/** Future events in order of time, and the clock that they move. */
public final class EventLine {

    private static final long NANOSECONDS_PER_MICROSECOND = 1_000;

    private final PausedClock clock = new PausedClock(Instant.EPOCH);
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private long now;
    private long sequence;

    /** One event; those of the same instant come in the order in which they were added. */
    private record Event(long at, long sequence, Runnable work) implements Comparable<Event> {

        @Override
        public int compareTo(Event other) {
            int byTime = Long.compare(at, other.at);
            return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
        }
    }

    /** The clock of all decision cores. */
    public PausedClock clock() {
        return clock;
    }

    /** Microseconds since the start. */
    public long now() {
        return now;
    }

    /** Adds an event some microseconds from now. */
    public void after(long microseconds, Runnable work) {
        sequence++;
        events.add(new Event(now + Math.max(0, microseconds), sequence, work));
    }

    /** Adds an event that repeats for ever. */
    public void every(long microseconds, Runnable work) {
        after(microseconds, () -> {
            work.run();
            every(microseconds, work);
        });
    }

    /** Runs all events until an instant, in microseconds since the start. */
    public void runUntil(long end) {
        while (!events.isEmpty() && events.peek().at() <= end) {
            Event event = events.poll();
            moveTo(event.at());
            event.work().run();
        }
        moveTo(end);
    }

    private void moveTo(long instant) {
        clock.advance(Duration.ofNanos((instant - now) * NANOSECONDS_PER_MICROSECOND));
        now = instant;
    }
}
