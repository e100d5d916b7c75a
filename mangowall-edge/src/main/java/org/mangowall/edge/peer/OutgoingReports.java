package org.mangowall.edge.peer;

import java.util.ArrayList;
import java.util.List;

/** The reports to send with the next message to each peer. */
final class OutgoingReports {

    private final List<HostReport> forAllPeers = new ArrayList<>();
    private final List<HostReport> fromRelays = new ArrayList<>();

    /** Adds a report of this host, or of a host for which it is a relay. */
    void add(HostReport report) {
        forAllPeers.add(report);
    }

    /** Adds a report received from a relay, which has sent it to the other relays itself. */
    void addFromRelay(HostReport report) {
        fromRelays.add(report);
    }

    boolean isEmpty() {
        return forAllPeers.isEmpty() && fromRelays.isEmpty();
    }

    /** The reports of one host only, for a peer that receives all other reports from another relay. */
    HostMessage.Reports ofHost(String name, long now) {
        return new HostMessage.Reports(
                forAllPeers.stream()
                        .filter(report -> report.host().equals(name))
                        .toList(),
                now);
    }

    /** The reports for a peer that is a relay. */
    HostMessage.Reports forRelays(long now) {
        return new HostMessage.Reports(List.copyOf(forAllPeers), now);
    }

    /** The reports for a peer that is no relay. */
    HostMessage.Reports forNonRelays(long now) {
        List<HostReport> all = new ArrayList<>(forAllPeers);
        all.addAll(fromRelays);
        return new HostMessage.Reports(all, now);
    }

    void clear() {
        forAllPeers.clear();
        fromRelays.clear();
    }
}
