package org.mangowall.edge.decision;

import java.util.Collection;

/**
 * Limits the rate at which this host sends requests to one cold runner.
 *
 * <p>Rendezvous hashing picks the same few hosts everywhere; they share the rate that the cold runner can serve, and
 * all other hosts send it nothing. Prevents a restarted runner from being overloaded when all hosts see it idle.
 */
final class ColdStartLimiter {

    /** How many hosts send to a cold runner; each may exceed its rate by one request, so the number must be small. */
    private static final int MAX_SENDERS = 4;

    private static final double NANOS_PER_SECOND = 1e9;

    private long coldUntil = Long.MIN_VALUE;
    private long nextAllowedAt = Long.MIN_VALUE;

    void markColdUntil(long until) {
        coldUntil = Math.max(coldUntil, until);
    }

    boolean isCold(long now) {
        return coldUntil != Long.MIN_VALUE && now < coldUntil;
    }

    boolean allows(String runner, String self, Collection<String> hosts, double requestsPerSecond, long now) {
        if (!isCold(now) || requestsPerSecond <= 0) {
            return true;
        }
        return now >= nextAllowedAt && Rendezvous.isAmongHighest(runner, self, hosts, MAX_SENDERS);
    }

    void recordSent(int hosts, double requestsPerSecond, long now) {
        if (!isCold(now) || requestsPerSecond <= 0) {
            return;
        }
        int senders = Math.clamp(hosts, 1, MAX_SENDERS);
        nextAllowedAt = now + (long) (NANOS_PER_SECOND * senders / requestsPerSecond);
    }
}
