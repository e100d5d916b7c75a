package org.mangowall.edge.traffic;

import java.util.function.LongSupplier;

/** The times of one caller request; its time counts from the arrival of its first byte. */
final class RequestTiming {

    private static final double NANOS_PER_MILLI = 1e6;

    private final LongSupplier nanoClock;
    private final long arrivedAt;
    private final long readAt;
    private long startedAt;
    private double timeoutMillis;

    /**
     * Begins when the request has been read.
     *
     * @param arrivedAt when its first byte arrived, as far as this host knows
     */
    RequestTiming(LongSupplier nanoClock, long arrivedAt) {
        this.nanoClock = nanoClock;
        this.arrivedAt = arrivedAt;
        this.readAt = nanoClock.getAsLong();
    }

    /** Records that work on the request begins. */
    void start() {
        startedAt = nanoClock.getAsLong();
    }

    /** Sets the time within which the request must be answered, counted from its arrival. */
    void setTimeoutMillis(double millis) {
        timeoutMillis = millis;
    }

    /** The time within which the request must be answered. */
    double timeoutMillis() {
        return timeoutMillis;
    }

    /** Time since the first byte arrived. */
    double elapsedMillis() {
        return (nanoClock.getAsLong() - arrivedAt) / NANOS_PER_MILLI;
    }

    /** Time until the timeout, at least a millisecond. */
    double remainingMillis() {
        return Math.max(1, timeoutMillis - elapsedMillis());
    }

    /** How long the request took to arrive. */
    double receivingMillis() {
        return (readAt - arrivedAt) / NANOS_PER_MILLI;
    }

    /** How long the request waited to be started; 0 if it wasn't. */
    double waitingMillis() {
        return startedAt == 0 ? 0 : (startedAt - readAt) / NANOS_PER_MILLI;
    }
}
