package org.mangowall.edge.program;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

import org.junit.jupiter.api.Test;
import org.mangowall.edge.model.HostRecord;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Checks that callers' connections are distributed over the hosts in proportion to their size. */
class EntryHostSelectorTest {

    private static HostRecord host(int number, double processors) {
        return new HostRecord("h" + number, 1, "p" + number, "c" + number, "z" + number % 3, processors);
    }

    private static List<HostRecord> fleet(int smallCount, int largeCount) {
        List<HostRecord> hosts = new ArrayList<>();
        for (int number = 0; number < smallCount + largeCount; number++) {
            hosts.add(host(number, number < smallCount ? 0.36 : 1.5));
        }
        return hosts;
    }

    @Test
    void equalHostsAreAllSelected() {
        assertEquals(
                9, EntryHostSelector.select(fleet(9, 0), "z0", new Random(1)).size());
        assertEquals(
                64, EntryHostSelector.select(fleet(87, 0), "z0", new Random(1)).size());
        assertEquals(
                2, EntryHostSelector.select(fleet(1, 1), "z0", new Random(1)).size());
    }

    /** 81 hosts of 0.36 processors and 6 of 1.5, as in a fleet that was extended by larger hosts. */
    @Test
    void largerHostsGetMoreConnections() {
        Random random = new Random(7);
        Map<String, Double> connections = new HashMap<>();
        int responses = 6_000;
        for (int response = 0; response < responses; response++) {
            List<String> selected = EntryHostSelector.select(fleet(81, 6), "z" + response % 3, random);
            selected.forEach(address -> connections.merge(address, 1.0 / selected.size(), Double::sum));
        }
        assertEquals(87, connections.size(), "each host gets connections");
        double large = connections.get("c81") / responses;
        double small = connections.get("c0") / responses;
        assertTrue(large > 2 * small, "a large host got " + large + ", a small one " + small);
        assertTrue(large < 1.5 / 0.36 * 1.2 * small, "a large host got " + large + ", a small one " + small);
    }
}
