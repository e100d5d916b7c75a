package org.mangowall.edge.decision;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.mangowall.edge.model.HostRecord;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Checks that callers' connections are distributed over the hosts by their size and load. */
class EntryHostSelectionTest {

    private static final int CALLERS = 6_000;

    private static EntryHostSelection.Candidate host(int number, double processors, int openRequests) {
        HostRecord record = new HostRecord("h" + number, 1, "p" + number, "c" + number, "z" + number % 3, processors);
        return new EntryHostSelection.Candidate(record, openRequests);
    }

    private static List<EntryHostSelection.Candidate> fleet(int smallCount, int largeCount) {
        List<EntryHostSelection.Candidate> hosts = new ArrayList<>();
        for (int number = 0; number < smallCount + largeCount; number++) {
            hosts.add(host(number, number < smallCount ? 0.36 : 1.5, 0));
        }
        return hosts;
    }

    /** The connections that each address gets from a number of callers, as a fraction of all connections. */
    private static Map<String, Double> connections(List<EntryHostSelection.Candidate> fleet) {
        Map<String, Double> connections = new HashMap<>();
        for (int caller = 0; caller < CALLERS; caller++) {
            List<String> selected = EntryHostSelection.select(fleet, "z" + caller % 3, "10.0." + caller);
            assertTrue(selected.size() >= 8 && selected.size() <= 64, selected.size() + " addresses");
            selected.forEach(address -> connections.merge(address, 1.0 / selected.size() / CALLERS, Double::sum));
        }
        return connections;
    }

    @Test
    void aSmallFleetIsSelectedAsAWhole() {
        assertEquals(9, EntryHostSelection.select(fleet(9, 0), "z0", "10.0.0.1").size());
        assertEquals(2, EntryHostSelection.select(fleet(1, 1), "z0", "10.0.0.1").size());
    }

    /** Workspaces whose callers choose the same addresses out of equal answers need different answers. */
    @Test
    void equalHostsOfALargeFleetAreSharedOutAmongCallers() {
        for (int size : List.of(16, 87)) {
            Map<String, Double> connections = connections(fleet(size, 0));
            assertEquals(size, connections.size(), "each host gets connections");
            connections.forEach((address, share) -> assertTrue(
                    share > 0.8 / size && share < 1.25 / size, address + " got " + share + " of " + size + " hosts"));
            Set<String> firstOfSortedAnswers = new HashSet<>();
            for (int caller = 0; caller < 40; caller++) {
                firstOfSortedAnswers.add(EntryHostSelection.select(fleet(size, 0), "z0", "10.0." + caller).stream()
                        .sorted()
                        .findFirst()
                        .orElseThrow());
            }
            assertTrue(firstOfSortedAnswers.size() >= 4, "callers that choose alike share " + firstOfSortedAnswers);
        }
    }

    /** 81 hosts of 0.36 processors and 6 of 1.5, as in a fleet that was extended by larger hosts. */
    @Test
    void largerHostsGetMoreConnections() {
        Map<String, Double> connections = connections(fleet(81, 6));
        assertEquals(87, connections.size(), "each host gets connections");
        double large = connections.get("c81");
        double small = connections.get("c0");
        assertTrue(large > 2 * small, "a large host got " + large + ", a small one " + small);
        assertTrue(large < 1.5 / 0.36 * 1.2 * small, "a large host got " + large + ", a small one " + small);
    }

    /** The callers of a busy workspace use one of 16 hosts, which has 54 open requests while most have few. */
    @Test
    void aCrowdedHostGetsFewerConnections() {
        List<EntryHostSelection.Candidate> hosts = new ArrayList<>();
        for (int number = 0; number < 16; number++) {
            hosts.add(host(number, 0.12, number == 4 ? 54 : 3));
        }
        double crowded = connections(hosts).get("c4");
        double other = connections(hosts).get("c5");
        assertTrue(crowded > 0 && crowded < 0.5 * other, "the crowded host got " + crowded + ", another " + other);
    }

    /** A caller closes its connections to hosts that are missing from a new answer. */
    @Test
    void aCallerKeepsItsHostsWhileTheLoadIsEven() {
        List<String> first = EntryHostSelection.select(fleet(81, 6), "z1", "10.0.0.7");
        assertEquals(first, EntryHostSelection.select(fleet(81, 6), "z1", "10.0.0.7"));
        List<EntryHostSelection.Candidate> changed = new ArrayList<>(fleet(81, 6));
        changed.set(0, host(0, 0.36, 30));
        List<String> second = new ArrayList<>(first);
        second.removeAll(EntryHostSelection.select(changed, "z1", "10.0.0.7"));
        assertTrue(second.size() <= 1, "lost " + second);
    }
}
