package org.mangowall.standin.runner;

import java.util.concurrent.TimeUnit;

/** Accumulates the time that slots are busy, summed over all slots. */
final class BusyTime {

    private long busySlotNanos;
    private long lastUpdateNanos = System.nanoTime();

    /** Adds the time since the previous call, during which the given number of slots was busy. */
    void add(int busySlots) {
        long now = System.nanoTime();
        busySlotNanos += busySlots * (now - lastUpdateNanos);
        lastUpdateNanos = now;
    }

    long busySlotMillis() {
        return TimeUnit.NANOSECONDS.toMillis(busySlotNanos);
    }
}
