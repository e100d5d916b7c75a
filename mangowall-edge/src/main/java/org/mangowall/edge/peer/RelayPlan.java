package org.mangowall.edge.peer;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.mangowall.edge.decision.Rendezvous;
import org.mangowall.edge.model.HostRecord;

/**
 * Decides which hosts pass news on, and with which ones a host exchanges news.
 *
 * <p>In a small fleet every host talks to every other. In a larger one, where the messages would grow with the square
 * of the fleet, a few relays talk to each other, and each remaining host to two of them: one may be lost.
 *
 * @param isRelay whether this host passes on the news of others
 * @param contacts the names of the hosts with which this host exchanges news
 */
record RelayPlan(boolean isRelay, Set<String> contacts) {

    /** Up to this size each host tells all others; the messages of a larger fleet cost more than relays save. */
    static final int MOST_DIRECT_HOSTS = 20;
    /** So many hosts make one relay necessary. */
    private static final int HOSTS_PER_RELAY = 16;

    private static final int LEAST_RELAYS = 4;
    private static final int RELAYS_PER_HOST = 2;

    /** Copies the contacts. */
    RelayPlan {
        contacts = Set.copyOf(contacts);
    }

    /**
     * Plans for a host.
     *
     * @param others the other hosts that are heard or not yet tried
     */
    static RelayPlan of(HostRecord self, Collection<HostRecord> others) {
        int size = others.size() + 1;
        if (size <= MOST_DIRECT_HOSTS) {
            return new RelayPlan(true, names(others.stream()));
        }
        int count = Math.max(LEAST_RELAYS, Math.ceilDiv(size, HOSTS_PER_RELAY));
        List<HostRecord> relays =
                others.stream().sorted(HostRank.ORDER).limit(count).toList();
        boolean isRelay = HostRank.isBefore(self, relays.getLast());
        if (isRelay) {
            return new RelayPlan(true, names(relays.stream().limit(count - 1L)));
        }
        Comparator<HostRecord> nearest =
                Comparator.comparingLong(relay -> Rendezvous.weight(self.name(), relay.name()));
        return new RelayPlan(
                false, names(relays.stream().sorted(nearest.reversed()).limit(RELAYS_PER_HOST)));
    }

    private static Set<String> names(Stream<HostRecord> hosts) {
        return hosts.map(HostRecord::name).collect(Collectors.toUnmodifiableSet());
    }
}
