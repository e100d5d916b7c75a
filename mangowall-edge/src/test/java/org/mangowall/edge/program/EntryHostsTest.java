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

/** Which hosts callers are named, so that their connections spread by size. */
class EntryHostsTest {

    private static HostRecord host(int number, double processors) {
        return new HostRecord("h" + number, 1, "p" + number, "c" + number, "z" + number % 3, processors);
    }

    private static List<HostRecord> fleet(int small, int large) {
        List<HostRecord> hosts = new ArrayList<>();
        for (int number = 0; number < small + large; number++) {
            hosts.add(host(number, number < small ? 0.36 : 1.5));
        }
        return hosts;
    }

    @Test
    void equalHostsAreAllNamed() {
        assertEquals(9, EntryHosts.choose(fleet(9, 0), "z0", new Random(1)).size());
        assertEquals(64, EntryHosts.choose(fleet(87, 0), "z0", new Random(1)).size());
        assertEquals(2, EntryHosts.choose(fleet(1, 1), "z0", new Random(1)).size());
    }

    /** 81 hosts of 0.36 processors and 6 of 1.5, as in a fleet that grew. */
    @Test
    void largerHostsGetMoreConnections() {
        Random random = new Random(7);
        Map<String, Double> connections = new HashMap<>();
        int answers = 6_000;
        for (int answer = 0; answer < answers; answer++) {
            List<String> named = EntryHosts.choose(fleet(81, 6), "z" + answer % 3, random);
            named.forEach(address -> connections.merge(address, 1.0 / named.size(), Double::sum));
        }
        assertEquals(87, connections.size(), "each host gets some");
        double large = connections.get("c81") / answers;
        double small = connections.get("c0") / answers;
        assertTrue(large > 2 * small, "a large host got " + large + ", a small one " + small);
        assertTrue(large < 1.5 / 0.36 * 1.2 * small, "a large host got " + large + ", a small one " + small);
    }
}
