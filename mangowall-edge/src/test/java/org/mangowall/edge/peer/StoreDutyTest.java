package org.mangowall.edge.peer;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.mangowall.edge.mirror.StoreAvailability;
import org.mangowall.edge.mirror.StoreMirror;
import org.mangowall.edge.model.HostRecord;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Which hosts ask the store while some are lost or turned away. */
class StoreDutyTest {

    private static final long SECOND = 1_000_000_000L;

    private final StoreMirror mirror = new StoreMirror(object -> {});

    private static PeerState peer(String name, boolean hasStore) {
        PeerState peer = new PeerState(host(name));
        HostState state = new HostState(true, hasStore, 0, Map.of(), Optional.empty(), List.of());
        peer.take(new HostReport(name, 1, 1, new byte[0]), state, true);
        return peer;
    }

    private static HostRecord host(String name) {
        return new HostRecord(name, 1, "10.0.0.1:1", "10.0.0.1:2", "a", 1);
    }

    /** The hosts on duty when each sees all others, those of {@code turnedAway} without the store. */
    private List<String> onDuty(List<String> alive, List<String> turnedAway) {
        List<String> duty = new ArrayList<>();
        for (String self : alive) {
            List<PeerState> others = alive.stream()
                    .filter(name -> !name.equals(self))
                    .map(name -> peer(name, !turnedAway.contains(name)))
                    .toList();
            StoreAvailability contact = new StoreAvailability(0);
            if (new StoreDuty(host(self), mirror, contact).isOnDuty(others, SECOND)) {
                duty.add(self);
            }
        }
        return duty;
    }

    private static List<String> names(int count) {
        List<String> names = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            names.add("edge-zone-" + index);
        }
        return names;
    }

    @Test
    void aFewAskWhateverTheSizeOfTheFleet() {
        for (int size : List.of(5, 9, 87, 360)) {
            assertEquals(StoreDuty.HOSTS, onDuty(names(size), List.of()).size(), size + " hosts");
        }
        assertEquals(2, onDuty(names(2), List.of()).size());
    }

    @Test
    void thoseThatAreTurnedAwayAreReplaced() {
        List<String> all = names(9);
        List<String> turnedAway = onDuty(all, List.of()).subList(0, 3);
        List<String> duty = new ArrayList<>(onDuty(all, turnedAway));
        duty.removeAll(turnedAway);
        assertEquals(StoreDuty.HOSTS, duty.size());
    }

    @Test
    void thoseThatAreLostAreReplaced() {
        List<String> all = new ArrayList<>(names(9));
        all.removeAll(onDuty(all, List.of()));
        assertEquals(StoreDuty.HOSTS, onDuty(all, List.of()).size());
    }

    @Test
    void aHostThatHearsNothingOfTheStoreAsksByItself() {
        List<PeerState> others =
                names(30).stream().map(name -> peer(name, true)).toList();
        StoreDuty last = new StoreDuty(host("last"), mirror, new StoreAvailability(0));
        boolean atOnce = last.isOnDuty(others, SECOND);
        assertTrue(last.isOnDuty(others, 5 * SECOND));
        StoreAvailability contact = new StoreAvailability(0);
        contact.answeredOther(4 * SECOND);
        assertEquals(atOnce, new StoreDuty(host("last"), mirror, contact).isOnDuty(others, 5 * SECOND));
    }
}
