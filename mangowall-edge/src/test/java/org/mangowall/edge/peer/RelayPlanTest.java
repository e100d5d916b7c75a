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

/** How news travels in fleets of all sizes, and how many connections that takes. */
class RelayPlanTest {

    private static final int ZONES = 3;

    private static List<HostRecord> fleet(int small, int large) {
        List<HostRecord> hosts = new ArrayList<>();
        for (int number = 0; number < small + large; number++) {
            hosts.add(new HostRecord(
                    "edge-" + number, 1, "p" + number, "c", "z" + number % ZONES, number < small ? 0.36 : 1.5));
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

    /** The hosts that hear of one, when relays pass on what members tell, and tell members what relays tell. */
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
        Set<String> second = new HashSet<>(relays);
        for (String relay : relays) {
            second.addAll(plans.get(relay).contacts());
        }
        reached.addAll(second);
        plans.forEach((name, plan) -> {
            if (!plan.isRelay() && plan.contacts().stream().anyMatch(second::contains)) {
                reached.add(name);
            }
        });
        return reached;
    }

    @Test
    void aSmallFleetTalksDirectly() {
        plans(fleet(9, 0)).values().forEach(plan -> {
            assertTrue(plan.isRelay());
            assertEquals(8, plan.contacts().size());
        });
    }

    @Test
    void newsReachesAllHosts() {
        for (int size : List.of(1, 2, 20, 21, 30, 87, 300, 360, 1_000)) {
            List<HostRecord> fleet = fleet(size, 0);
            Map<String, RelayPlan> plans = plans(fleet);
            for (HostRecord host : fleet.subList(0, Math.min(size, 40))) {
                assertEquals(size, reached(plans, host.name()).size(), size + " hosts, from " + host.name());
            }
        }
    }

    @Test
    void largeHostsRelay() {
        Map<String, RelayPlan> plans = plans(fleet(81, 6));
        plans.forEach((name, plan) -> assertEquals(Integer.parseInt(name.substring(5)) >= 81, plan.isRelay(), name));
    }

    /** Messages cost a host by its connections; all to all, 360 hosts would have 359 each. */
    @Test
    void connectionsGrowSlowlyWithTheFleet() {
        for (int size : List.of(30, 87, 300, 360)) {
            Map<String, RelayPlan> plans = plans(fleet(size, 0));
            Map<String, Set<String>> links = new HashMap<>();
            plans.forEach((name, plan) -> plan.contacts().forEach(contact -> {
                links.computeIfAbsent(name, none -> new HashSet<>()).add(contact);
                links.computeIfAbsent(contact, none -> new HashSet<>()).add(name);
            }));
            int all = links.values().stream().mapToInt(Set::size).sum();
            assertTrue(all < 8 * size, size + " hosts have " + all + " ends of connections");
            int most = links.values().stream().mapToInt(Set::size).max().orElseThrow();
            assertTrue(most < 100, size + " hosts: one has " + most + " connections");
        }
    }

    @Test
    void theLossOfARelayMovesOnlyItsHosts() {
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
                assertFalse(kept.isEmpty(), name + " keeps a relay");
            }
        });
    }
}
