package org.mangowall.edge.decision;

import java.util.Collection;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Keeps the requests of all hosts to one runner within the rate limit that the runner states in its responses.
 *
 * <p>Each request of any host delays the next one by the interval that the limit stands for, so that requests sent at
 * the same time are made up for later. Until the requests of another host are reported, each host may exceed the limit
 * by its burst; therefore only a number of hosts that grows with the limit sends to the runner.
 */
final class StatedRateLimiter {

    /** A runner that states a lower limit is still asked this often whether it accepts requests again. */
    private static final double MIN_REQUESTS_PER_SECOND = 0.1;

    private static final int MIN_SENDERS = 2;
    private static final double SENDERS_PER_RATE = 0.75;
    /** Any host may send once no response has confirmed a limit for this time and some intervals. */
    private static final long CONFIRMATION_TIMEOUT_NANOS = 10_000_000_000L;

    private static final int CONFIRMATION_TIMEOUT_INTERVALS = 3;
    /** Bounds the pause after requests of hosts that don't know the limit yet. */
    private static final long MAX_PAUSE_NANOS = 4_000_000_000L;

    private static final double NANOS_PER_SECOND = 1e9;

    private Optional<Double> limit = Optional.empty();
    private long statedAt = Long.MIN_VALUE;
    private OptionalLong receivedAt = OptionalLong.empty();
    private long nextAllowedAt;

    /** The limit in requests per second; empty if there is none. */
    Optional<Double> limit() {
        return limit;
    }

    /** When the runner stated the limit last, to any host. */
    long statedAt() {
        return statedAt;
    }

    /** Whether a response to this host stated the limit within a time. */
    boolean wasReceivedWithin(long nanos, long now) {
        return receivedAt.isPresent() && now - receivedAt.getAsLong() <= nanos;
    }

    /**
     * Records what a response to this host states.
     *
     * @param stated the limit; empty if the response states none, which ends the limit if the request was sent later
     *     than the limit was stated
     * @param sentAt when the request was sent
     * @return whether the limit changed
     */
    boolean recordResponse(Optional<Double> stated, long sentAt, long now) {
        if (stated.isEmpty() && (limit.isEmpty() || sentAt <= statedAt)) {
            return false;
        }
        boolean isChanged = !stated.equals(limit);
        receivedAt = OptionalLong.of(now);
        change(stated, now, now);
        return isChanged;
    }

    /** Adopts what the runner stated to another host, unless this host knows a later statement. */
    void adopt(Optional<Double> stated, long statedToOtherAt, long now) {
        if (statedToOtherAt > statedAt) {
            change(stated, statedToOtherAt, now);
        }
    }

    private void change(Optional<Double> stated, long at, long now) {
        if (limit.isEmpty() && stated.isPresent()) {
            nextAllowedAt = now + intervalNanos(stated.get());
        }
        limit = stated;
        statedAt = at;
    }

    /** Whether a host may send a request now. */
    boolean allows(String runner, String host, Collection<String> hosts, long now) {
        if (limit.isEmpty()) {
            return true;
        }
        if (now < nextAllowedAt) {
            return false;
        }
        return isUnconfirmed(now) || Rendezvous.isAmongHighest(runner, host, hosts, senders(limit.get()));
    }

    private boolean isUnconfirmed(long now) {
        long timeout = CONFIRMATION_TIMEOUT_NANOS + CONFIRMATION_TIMEOUT_INTERVALS * intervalNanos(limit.orElseThrow());
        return now - statedAt > timeout;
    }

    /** Counts a request of any host. */
    void recordSent(long now) {
        if (limit.isEmpty()) {
            return;
        }
        long interval = intervalNanos(limit.get());
        long earliest = Math.max(nextAllowedAt, now - interval) + interval;
        nextAllowedAt = Math.min(earliest, now + MAX_PAUSE_NANOS + interval);
    }

    private static long intervalNanos(double requestsPerSecond) {
        return (long) (NANOS_PER_SECOND / Math.max(requestsPerSecond, MIN_REQUESTS_PER_SECOND));
    }

    private static int senders(double requestsPerSecond) {
        return MIN_SENDERS + (int) (SENDERS_PER_RATE * requestsPerSecond);
    }
}
