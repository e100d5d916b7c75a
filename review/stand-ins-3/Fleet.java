package review3;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** A store, runners and hosts in three zones, in a temporary folder. */
public final class Fleet implements AutoCloseable {

    private static final String[] ZONES = {"zone-a", "zone-b", "zone-c"};

    public final StandInStore store = new StandInStore();
    public final List<StandInRunner> runners = new ArrayList<>();
    public final List<Host> hosts = new ArrayList<>();
    private final Path directory;

    public Fleet() throws IOException {
        directory = Files.createTempDirectory("review-3-");
        Runtime.getRuntime().addShutdownHook(new Thread(() -> hosts.forEach(Host::close)));
    }

    public static String zone(int index) {
        return ZONES[index % ZONES.length];
    }

    /** Starts runners of a service, and registers them. */
    public void addRunners(String service, int count, int slots, StandInRunner.Work work) {
        for (int index = 0; index < count; index++) {
            StandInRunner runner = new StandInRunner("i-" + service + "-" + index, work);
            runners.add(runner);
            store.put("servers", runner.identifier(), runner.entry(service, zone(index), slots, "ready", 1));
        }
    }

    /** Starts hosts; returns whether all became ready. */
    public boolean startHosts(int count) throws IOException, InterruptedException {
        List<Integer> peerPorts = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            peerPorts.add(Host.freePort());
            String name = "edge-" + zone(index) + "-" + index / ZONES.length;
            hosts.add(new Host(name, zone(index), directory, store.open(name), peerPorts.get(index)));
        }
        for (Host host : hosts) {
            host.start(peerPorts.subList(0, Math.min(3, peerPorts.size())));
        }
        for (Host host : hosts) {
            if (!host.awaitReady(20)) {
                return false;
            }
        }
        // The hosts have heard of each other by then.
        Thread.sleep(4_000);
        return true;
    }

    /** Copies the end of the hosts' logs into the record. */
    public void recordLogs(Recorder record, int lines, String pattern) throws IOException {
        for (Host host : hosts) {
            List<String> matching = Files.readAllLines(host.log(), java.nio.charset.StandardCharsets.ISO_8859_1).stream()
                    .filter(line -> line.matches(".*(" + pattern + ").*"))
                    .toList();
            record.line("log of " + host.name() + ": " + matching.size() + " lines with " + pattern);
            matching.subList(0, Math.min(lines, matching.size())).forEach(line -> record.line("  " + line));
        }
    }

    @Override
    public void close() throws IOException {
        hosts.forEach(Host::close);
        runners.forEach(StandInRunner::close);
        store.close();
        try (Stream<Path> files = Files.walk(directory)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }
}
