package org.mangowall.edge.peer;

import java.util.ArrayList;
import java.util.List;

/** The reports that go out with the next message to each contact. */
final class NewsBoard {

    private final List<HostReport> forAll = new ArrayList<>();
    private final List<HostReport> fromRelays = new ArrayList<>();

    /** Adds a report of this host, or of one that has this host as its relay. */
    void add(HostReport report) {
        forAll.add(report);
    }

    /** Adds a report that came from a relay; the other relays get it from there. */
    void addFromRelay(HostReport report) {
        fromRelays.add(report);
    }

    boolean isEmpty() {
        return forAll.isEmpty() && fromRelays.isEmpty();
    }

    /** The reports of this host alone, for a host that gets those of others elsewhere. */
    PeerNews.Bundle ofHost(String name) {
        return new PeerNews.Bundle(
                forAll.stream().filter(report -> report.host().equals(name)).toList());
    }

    PeerNews.Bundle forRelays() {
        return new PeerNews.Bundle(List.copyOf(forAll));
    }

    PeerNews.Bundle forMembers() {
        List<HostReport> all = new ArrayList<>(forAll);
        all.addAll(fromRelays);
        return new PeerNews.Bundle(all);
    }

    void clear() {
        forAll.clear();
        fromRelays.clear();
    }
}
