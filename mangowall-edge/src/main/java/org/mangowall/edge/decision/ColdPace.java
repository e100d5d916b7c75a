package org.mangowall.edge.decision;

import java.util.Collection;

/**
 * Paces the requests of one host to one cold runner.
 *
 * <p>A few hosts, the same by everyone's reckoning, share the rate that the runner bears; the others leave it alone.
 * Answers a load in which runners come back cold while all hosts look for free ones.
 */
final class ColdPace {

    /** How many hosts share a cold runner: each may send one request ahead of its pace, and the bound must hold. */
    private static final int KEEPERS = 4;

    private static final double NANOS_PER_SECOND = 1e9;

    private long coldUntil = Long.MIN_VALUE;
    private long nextAllowedAt = Long.MIN_VALUE;

    void setCold(long until) {
        coldUntil = Math.max(coldUntil, until);
    }

    boolean isCold(long now) {
        return coldUntil != Long.MIN_VALUE && now < coldUntil;
    }

    boolean allows(String runner, String self, Collection<String> hosts, double requestsPerSecond, long now) {
        if (!isCold(now) || requestsPerSecond <= 0) {
            return true;
        }
        return now >= nextAllowedAt && isKeeper(runner, self, hosts);
    }

    void recordSent(int hosts, double requestsPerSecond, long now) {
        if (!isCold(now) || requestsPerSecond <= 0) {
            return;
        }
        int keepers = Math.clamp(hosts, 1, KEEPERS);
        nextAllowedAt = now + (long) (NANOS_PER_SECOND * keepers / requestsPerSecond);
    }

    private static boolean isKeeper(String runner, String self, Collection<String> hosts) {
        if (hosts.size() <= KEEPERS) {
            return true;
        }
        long own = Rendezvous.weight(runner, self);
        int ahead = 0;
        for (String host : hosts) {
            if (!host.equals(self) && Rendezvous.weight(runner, host) > own) {
                ahead += 1;
            }
        }
        return ahead < KEEPERS;
    }
}
