package org.mangowall.edge.peer;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.mangowall.edge.model.HostRecord;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Checks that reports reach all hosts in fleets of all sizes, with few connections. */
class RelayPlanTest {

    private static final int ZONES = 3;

    private static List<HostRecord> fleet(int smallHosts, int largeHosts) {
        List<HostRecord> hosts = new ArrayList<>();
        for (int number = 0; number < smallHosts + largeHosts; number++) {
            hosts.add(new HostRecord(
                    "edge-" + number, 1, "p" + number, "c", "z" + number % ZONES, number < smallHosts ? 0.36 : 1.5));
        }
        return hosts;
    }

    private static Map<String, RelayPlan> plans(List<HostRecord> fleet) {
        Map<String, RelayPlan> plans = new HashMap<>();
        for (HostRecord self : fleet) {
            List<HostRecord> others =
                    fleet.stream().filter(host -> host != self).toList();
            plans.put(self.name(), RelayPlan.of(self, others));
        }
        return plans;
    }

    /** The hosts that a report of one host reaches when relays forward it to other relays and their connected hosts. */
    private static Set<String> reached(Map<String, RelayPlan> plans, String from) {
        Set<String> reached = new HashSet<>(Set.of(from));
        List<String> relays = new ArrayList<>();
        for (String contact : plans.get(from).contacts()) {
            reached.add(contact);
            relays.add(contact);
        }
        if (plans.get(from).isRelay()) {
            relays = List.of(from);
        }
        Set<String> relayContacts = new HashSet<>(relays);
        for (String relay : relays) {
            relayContacts.addAll(plans.get(relay).contacts());
        }
        reached.addAll(relayContacts);
        plans.forEach((name, plan) -> {
            if (!plan.isRelay() && plan.contacts().stream().anyMatch(relayContacts::contains)) {
                reached.add(name);
            }
        });
        return reached;
    }

    @Test
    void smallFleetIsAFullMesh() {
        plans(fleet(9, 0)).values().forEach(plan -> {
            assertTrue(plan.isRelay());
            assertEquals(8, plan.contacts().size());
        });
    }

    @Test
    void reportsReachAllHosts() {
        for (int size : List.of(1, 2, 20, 21, 30, 87, 300, 360, 1_000)) {
            List<HostRecord> fleet = fleet(size, 0);
            Map<String, RelayPlan> plans = plans(fleet);
            for (HostRecord host : fleet.subList(0, Math.min(size, 40))) {
                assertEquals(size, reached(plans, host.name()).size(), size + " hosts, from " + host.name());
            }
        }
    }

    @Test
    void largeHostsBecomeRelays() {
        Map<String, RelayPlan> plans = plans(fleet(81, 6));
        plans.forEach((name, plan) -> assertEquals(Integer.parseInt(name.substring(5)) >= 81, plan.isRelay(), name));
    }

    /** The cost of messages grows with the connections of a host; in a full mesh, 360 hosts would have 359 each. */
    @Test
    void connectionsPerHostStayBounded() {
        for (int size : List.of(30, 87, 300, 360)) {
            Map<String, RelayPlan> plans = plans(fleet(size, 0));
            Map<String, Set<String>> links = new HashMap<>();
            plans.forEach((name, plan) -> plan.contacts().forEach(contact -> {
                links.computeIfAbsent(name, none -> new HashSet<>()).add(contact);
                links.computeIfAbsent(contact, none -> new HashSet<>()).add(name);
            }));
            int all = links.values().stream().mapToInt(Set::size).sum();
            assertTrue(all < 8 * size, size + " hosts have " + all + " connection ends in total");
            int most = links.values().stream().mapToInt(Set::size).max().orElseThrow();
            assertTrue(most < 100, size + " hosts: one host has " + most + " connections");
        }
    }

    @Test
    void losingARelayMovesOnlyHostsConnectedToIt() {
        List<HostRecord> fleet = fleet(87, 0);
        Map<String, RelayPlan> before = plans(fleet);
        String lost = before.keySet().stream()
                .filter(name -> before.get(name).isRelay())
                .findFirst()
                .orElseThrow();
        Map<String, RelayPlan> after =
                plans(fleet.stream().filter(host -> !host.name().equals(lost)).toList());
        after.forEach((name, plan) -> {
            if (!plan.isRelay() && !before.get(name).contacts().contains(lost)) {
                Set<String> kept = new HashSet<>(plan.contacts());
                kept.retainAll(before.get(name).contacts());
                assertFalse(kept.isEmpty(), name + " keeps none of its relays");
            }
        });
    }
}
