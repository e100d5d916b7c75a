package org.mangowall.edge.peer;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.mangowall.edge.decision.Rendezvous;
import org.mangowall.edge.model.HostRecord;

/**
 * Decides which hosts pass news on, and with which ones a host exchanges news.
 *
 * <p>In a small fleet every host talks to every other. In a larger one, where the messages would grow with the square
 * of the fleet, the relays of all availability zones talk to each other, and each remaining host to two of its own
 * zone: one may be lost, and news crosses between zones once.
 *
 * @param isRelay whether this host passes on the news of others
 * @param contacts the names of the hosts with which this host exchanges news, the preferred one first
 */
record RelayPlan(boolean isRelay, List<String> contacts) {

    /** Up to this size each host tells all others; the messages of a larger fleet cost more than relays save. */
    static final int MOST_DIRECT_HOSTS = 20;
    /** So many hosts of a zone make one more relay necessary. */
    private static final int HOSTS_PER_RELAY = 16;

    /** One of them may be lost. */
    private static final int LEAST_RELAYS_OF_ZONE = 2;
    /** The one that is used and the one that takes over from it. */
    private static final int RELAYS_PER_HOST = 2;

    /** Copies the contacts. */
    RelayPlan {
        contacts = List.copyOf(contacts);
    }

    /**
     * Plans for a host.
     *
     * @param others the other hosts that are heard or not yet tried
     */
    static RelayPlan of(HostRecord self, Collection<HostRecord> others) {
        if (others.size() < MOST_DIRECT_HOSTS) {
            return new RelayPlan(true, names(others.stream()));
        }
        List<HostRecord> all = new ArrayList<>(others);
        all.add(self);
        Map<String, List<HostRecord>> relays = all.stream()
                .sorted(HostRank.ORDER)
                .collect(Collectors.groupingBy(
                        HostRecord::zone, Collectors.collectingAndThen(Collectors.toList(), RelayPlan::relaysOfZone)));
        List<HostRecord> ownZone = relays.get(self.zone());
        if (ownZone.contains(self)) {
            return new RelayPlan(
                    true, names(relays.values().stream().flatMap(List::stream).filter(relay -> relay != self)));
        }
        Comparator<HostRecord> nearest =
                Comparator.comparingLong(relay -> Rendezvous.weight(self.name(), relay.name()));
        return new RelayPlan(
                false, names(ownZone.stream().sorted(nearest.reversed()).limit(RELAYS_PER_HOST)));
    }

    private static List<HostRecord> relaysOfZone(List<HostRecord> ranked) {
        int count = Math.max(LEAST_RELAYS_OF_ZONE, Math.ceilDiv(ranked.size(), HOSTS_PER_RELAY));
        return ranked.stream().limit(count).toList();
    }

    private static List<String> names(Stream<HostRecord> hosts) {
        return hosts.map(HostRecord::name).toList();
    }
}
