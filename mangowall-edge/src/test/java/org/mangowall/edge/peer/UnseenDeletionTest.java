package org.mangowall.edge.peer;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.stream.Stream;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.mangowall.edge.model.HostRecord;
import org.mangowall.edge.wire.ObjectKind;
import org.mangowall.edge.wire.StorePosition;
import org.mangowall.edge.wire.StoredObject;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Guards against hosts that keep a deleted object, since the host that told them of changes never saw the deletion. */
class UnseenDeletionTest {

    private static final long BOUND_MILLIS = 2_000;
    /** Leaves time in the bound to notice that the reader before has gone. */
    private static final long READER_BOUND_MILLIS = 300;

    private final SimulatedMesh fleet = new SimulatedMesh();
    private final List<HostRecord> records = new ArrayList<>();
    private final List<SimulatedMesh.Host> hosts = new ArrayList<>();
    private long incarnation = 1;

    @AfterEach
    void end() {
        fleet.close();
    }

    private void start(int count) {
        for (int number = 0; number < count; number++) {
            records.add(record(number));
            hosts.add(fleet.start(records.get(number), seeds()));
        }
    }

    private HostRecord record(int number) {
        String address = "10.0.0." + (number + 1) + ":7";
        return new HostRecord("edge-" + number, incarnation, address, address, "z" + number % 3, 1);
    }

    private List<String> seeds() {
        return records.stream().limit(3).map(HostRecord::peerAddress).toList();
    }

    private void restart(int number) {
        fleet.kill(records.get(number));
        incarnation += 1;
        records.set(number, record(number));
        hosts.set(number, fleet.start(records.get(number), seeds()));
    }

    private static StorePosition at(long revision) {
        return new StorePosition(1, revision);
    }

    private static StoredObject object(ObjectKind kind, String name, long revision) {
        return new StoredObject(kind, name, at(revision), name.getBytes(StandardCharsets.UTF_8), false);
    }

    private static Map<String, StorePosition> existing(SimulatedMesh.Host host, ObjectKind kind) {
        Map<String, StorePosition> existing = new TreeMap<>();
        for (StoredObject object : host.mirror().changedAfter(kind, StorePosition.START)) {
            if (!object.isDeleted()) {
                existing.put(object.name(), object.position());
            }
        }
        return existing;
    }

    static Stream<Arguments> kindsAndSizes() {
        return Stream.of(ObjectKind.RUNNER, ObjectKind.CLOSED_ZONE, ObjectKind.CONFIGURATION)
                .flatMap(kind -> Stream.of(3, 8, 30, 87).map(size -> Arguments.of(kind, size)));
    }

    /** A host lists the objects after its restart, before any host that saw the deletion tells the others. */
    @ParameterizedTest
    @MethodSource("kindsAndSizes")
    void aDeletionBeforeTheListOfARestartedHostReachesAllHosts(ObjectKind kind, int size) {
        start(size);
        List<StoredObject> before = List.of(object(kind, "kept", 5), object(kind, "removed", 6));
        hosts.forEach(host -> host.mirror().applyList(kind, before, at(10)));
        fleet.advance(3_000);
        restart(size - 1);
        hosts.getLast().mirror().applyList(kind, List.of(object(kind, "kept", 5), object(kind, "added", 20)), at(21));
        fleet.advance(BOUND_MILLIS);
        for (SimulatedMesh.Host host : hosts) {
            assertEquals(Map.of("kept", at(5), "added", at(20)), existing(host, kind));
        }
    }

    /** Nothing but a deletion has happened, so the changes that the restarted host knows are none. */
    @ParameterizedTest
    @MethodSource("kindsAndSizes")
    void aDeletionAloneReachesAllHosts(ObjectKind kind, int size) {
        start(size);
        List<StoredObject> before = List.of(object(kind, "kept", 5), object(kind, "removed", 6));
        hosts.forEach(host -> host.mirror().applyList(kind, before, at(10)));
        fleet.advance(3_000);
        restart(size - 1);
        hosts.getLast().mirror().applyList(kind, List.of(object(kind, "kept", 5)), at(21));
        fleet.advance(BOUND_MILLIS);
        for (SimulatedMesh.Host host : hosts) {
            assertEquals(Map.of("kept", at(5)), existing(host, kind));
        }
    }

    /** It was just chosen to read the store in place of a host that has gone, and lists before it watches. */
    @ParameterizedTest
    @MethodSource("kindsAndSizes")
    void aDeletionThatAReaderFindsInAListReachesAllHostsAtOnce(ObjectKind kind, int size) {
        start(size);
        hosts.forEach(host -> host.mirror().applyList(kind, List.of(object(kind, "removed", 6)), at(10)));
        fleet.advance(3_000);
        SimulatedMesh.Host reader = hosts.stream()
                .filter(SimulatedMesh.Host::isStoreReader)
                .findFirst()
                .orElseThrow();
        reader.mirror().applyList(kind, List.of(), at(21));
        fleet.advance(READER_BOUND_MILLIS);
        hosts.forEach(host -> assertEquals(Map.of(), existing(host, kind)));
    }

    /** The store's objects and their history, and hosts that list or watch, pause and restart in any order. */
    private final class RandomHistory {

        private static final int HOSTS = 6;
        private static final int STEPS = 60;
        private static final int NAMES = 4;

        private final Random random;
        private final Map<String, StoredObject> stored = new TreeMap<>();
        private final List<StoredObject> history = new ArrayList<>();
        private long revision = 1;

        RandomHistory(long seed) {
            random = new Random(seed);
        }

        void play() {
            start(HOSTS);
            fleet.advance(1_000);
            for (int step = 0; step < STEPS; step++) {
                act(random.nextInt(HOSTS));
                fleet.advance(20L * random.nextInt(20));
            }
            list(hosts.get(random.nextInt(HOSTS)));
            fleet.advance(BOUND_MILLIS);
        }

        private void act(int host) {
            switch (random.nextInt(8)) {
                case 0 -> restart(host);
                case 1, 2 -> list(hosts.get(host));
                case 3, 4 -> watch(hosts.get(host));
                default -> change("runner-" + random.nextInt(NAMES));
            }
        }

        private void change(String name) {
            revision += 1;
            boolean isDeletion = stored.containsKey(name) && random.nextBoolean();
            StoredObject change = new StoredObject(ObjectKind.RUNNER, name, at(revision), new byte[0], isDeletion);
            history.add(change);
            if (isDeletion) {
                stored.remove(name);
            } else {
                stored.put(name, change);
            }
        }

        private void list(SimulatedMesh.Host host) {
            host.mirror().applyList(ObjectKind.RUNNER, List.copyOf(stored.values()), at(revision));
        }

        private void watch(SimulatedMesh.Host host) {
            StorePosition from = host.mirror().completeTo(ObjectKind.RUNNER);
            if (from.equals(StorePosition.START)) {
                list(host);
                return;
            }
            List<StoredObject> changes = history.stream()
                    .filter(change -> change.position().isAfter(from))
                    .toList();
            host.mirror().applyChanges(ObjectKind.RUNNER, changes, at(revision));
        }

        Map<String, StorePosition> positions() {
            Map<String, StorePosition> positions = new TreeMap<>();
            stored.forEach((name, object) -> positions.put(name, object.position()));
            return positions;
        }
    }

    static Stream<Long> seeds200() {
        return Stream.iterate(1L, seed -> seed + 1).limit(200);
    }

    @ParameterizedTest
    @MethodSource("seeds200")
    void allHostsKnowTheStoresObjectsInTheEnd(long seed) {
        RandomHistory history = new RandomHistory(seed);
        history.play();
        for (int number = 0; number < hosts.size(); number++) {
            assertEquals(history.positions(), existing(hosts.get(number), ObjectKind.RUNNER), "host " + number);
        }
    }
}
