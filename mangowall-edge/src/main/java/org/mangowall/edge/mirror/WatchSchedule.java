package org.mangowall.edge.mirror;

import java.time.Duration;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;

import org.mangowall.edge.wire.ObjectKind;

/**
 * Chooses for how long watches wait, so that at any time one of them ends soon and shows whether the connections to the
 * store still work: one that has gone silent looks like a watch that waits.
 */
public final class WatchSchedule {

    /** Time until the next watch ends; leaves time to notice a silent connection and to list within 3 s. */
    static final long MAX_UNCHECKED_MILLIS = 1_800;

    private static final double MIN_SHORT_MILLIS = 1_600;
    private static final double MIN_LONG_MILLIS = 2_800;
    private static final double MAX_LONG_MILLIS = 3_600;

    private final DoubleSupplier random;
    private final Map<ObjectKind, Long> ends = new EnumMap<>(ObjectKind.class);

    /**
     * Creates a schedule without watches.
     *
     * @param random draws from 0 to 1, which spread the watches of hosts that started together
     */
    public WatchSchedule(DoubleSupplier random) {
        this.random = random;
    }

    /** Returns for how long a watch that begins now should wait. */
    Duration begin(ObjectKind kind, long now) {
        ends.remove(kind);
        long latest = now + TimeUnit.MILLISECONDS.toNanos(MAX_UNCHECKED_MILLIS);
        boolean isOtherEndingSoon = ends.values().stream().anyMatch(end -> end >= now && end <= latest);
        double millis = isOtherEndingSoon
                ? between(MIN_LONG_MILLIS, MAX_LONG_MILLIS)
                : between(MIN_SHORT_MILLIS, MAX_UNCHECKED_MILLIS);
        Duration wait = Duration.ofMillis((long) millis);
        ends.put(kind, now + wait.toNanos());
        return wait;
    }

    private double between(double min, double max) {
        return min + random.getAsDouble() * (max - min);
    }

    /** Records that no watch of a kind is waiting. */
    void end(ObjectKind kind) {
        ends.remove(kind);
    }
}
