package org.mangowall.standin.runner;

import java.util.concurrent.TimeUnit;

/** The time that slots were busy, summed over slots. */
final class BusyTime {

    private long slotNanos;
    private long countedUpToNanos = System.nanoTime();

    /** Counts the time since the last call as spent with so many slots busy. */
    void add(int busySlots) {
        long now = System.nanoTime();
        slotNanos += busySlots * (now - countedUpToNanos);
        countedUpToNanos = now;
    }

    long slotMillis() {
        return TimeUnit.NANOSECONDS.toMillis(slotNanos);
    }
}
