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
 * The role of a host in the relay topology over which hosts exchange reports.
 *
 * <p>A small fleet is a full mesh. In a larger one, where the number of messages would grow with the square of the
 * fleet, the relays of all availability zones form a full mesh, and every other host connects to two relays of its
 * own zone. The loss of one relay is tolerated, and a report crosses between two zones only once.
 *
 * @param isRelay whether this host forwards reports of other hosts
 * @param contacts the names of the hosts with which this host exchanges reports, the preferred one first
 */
record RelayPlan(boolean isRelay, List<String> contacts) {

    /** Up to this size the fleet is a full mesh; beyond it, direct messages cost more than relaying. */
    static final int MAX_FULL_MESH_HOSTS = 20;
    /** The number of hosts of a zone per relay. */
    private static final int HOSTS_PER_RELAY = 16;

    /** Tolerates the loss of one relay. */
    private static final int MIN_RELAYS_PER_ZONE = 2;
    /** The relay in use and its backup. */
    private static final int RELAYS_PER_HOST = 2;

    /** Creates a plan with an immutable copy of the contacts. */
    RelayPlan {
        contacts = List.copyOf(contacts);
    }

    /**
     * Computes the plan of a host.
     *
     * @param others the other hosts, except those whose last connection attempt failed recently
     */
    static RelayPlan of(HostRecord self, Collection<HostRecord> others) {
        if (others.size() < MAX_FULL_MESH_HOSTS) {
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
        Comparator<HostRecord> byRendezvousWeight =
                Comparator.comparingLong(relay -> Rendezvous.weight(self.name(), relay.name()));
        return new RelayPlan(
                false,
                names(ownZone.stream().sorted(byRendezvousWeight.reversed()).limit(RELAYS_PER_HOST)));
    }

    private static List<HostRecord> relaysOfZone(List<HostRecord> ranked) {
        int count = Math.max(MIN_RELAYS_PER_ZONE, Math.ceilDiv(ranked.size(), HOSTS_PER_RELAY));
        return ranked.stream().limit(count).toList();
    }

    private static List<String> names(Stream<HostRecord> hosts) {
        return hosts.map(HostRecord::name).toList();
    }
}
