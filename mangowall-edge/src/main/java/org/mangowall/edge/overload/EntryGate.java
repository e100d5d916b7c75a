package org.mangowall.edge.overload;

import java.util.concurrent.TimeUnit;

/**
 * Decides when a host refuses new connections because its own link or processor is behind.
 *
 * <p>Load: the callers of a large workspace enter at one host and send several times what its link carries, or all
 * callers come back to a host that has just started. Each request that is read then waits behind the others, is
 * answered late, and is sent again. A refused connection costs nothing, has surely run nothing, and tells the caller
 * at once to try another host; what is being served goes on. {@code EntryGateTest} replays the load.
 */
public final class EntryGate {

    /** Callers who keep trying one host must find it open within a second. */
    private static final long MAX_CLOSED_NANOS = TimeUnit.SECONDS.toNanos(1);
    /** Time to accept what has been waiting for the gate to open, and to measure what that does. */
    private static final long MIN_OPEN_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    /** The gate closes before requests that have been read wait so long that they have to be refused. */
    private static final double MAX_QUEUE_MILLIS = 100;
    /** Fraction of the bound below which the gate opens. */
    private static final double OPENING_FRACTION = 0.5;

    private boolean isOpen = true;
    private long changedAt;
    private long closedNanos;

    /** Creates an open gate. */
    public EntryGate(long now) {
        this.changedAt = now - MIN_OPEN_NANOS;
    }

    /**
     * Opens or closes the gate.
     *
     * @param delayMillis the delay of this host's own path and processing
     * @param boundMillis the delay that callers can bear
     * @return whether the gate has changed
     */
    public boolean update(double delayMillis, double boundMillis, long now) {
        return update(0, delayMillis, boundMillis, now);
    }

    /**
     * Opens or closes the gate, also by the requests that have arrived and wait. This closes it without delay, because
     * reading and refusing further requests takes processor time from those that wait.
     *
     * @param queueMillis how long the oldest request has been waiting for the processor
     * @param delayMillis the delay of this host's own path and processing
     * @param boundMillis the delay that callers can bear
     * @return whether the gate has changed
     */
    public boolean update(double queueMillis, double delayMillis, double boundMillis, long now) {
        long unchangedNanos = now - changedAt;
        double queueBoundMillis = Math.min(boundMillis, MAX_QUEUE_MILLIS);
        boolean isBehind = delayMillis > boundMillis && unchangedNanos >= MIN_OPEN_NANOS;
        boolean hasCaughtUp =
                delayMillis < OPENING_FRACTION * boundMillis && queueMillis < OPENING_FRACTION * queueBoundMillis;
        boolean shouldChange =
                isOpen ? isBehind || queueMillis > queueBoundMillis : hasCaughtUp || unchangedNanos >= MAX_CLOSED_NANOS;
        if (!shouldChange) {
            return false;
        }
        closedNanos += isOpen ? 0 : unchangedNanos;
        isOpen = !isOpen;
        changedAt = now;
        return true;
    }

    public boolean isOpen() {
        return isOpen;
    }

    /** Returns how long the gate has been closed in all, without the current time, in seconds. */
    public double closedSeconds() {
        return closedNanos / 1e9;
    }
}
