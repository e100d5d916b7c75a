import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** The parts that all cases share: settings of a small deployment, the record and the exit. */
final class Fleet {

    static final int MAX_BODY_BYTES = 4_194_304;

    final Path folder;
    final Store store;
    final List<Host> hosts = new ArrayList<>();
    private final PrintWriter record;
    private final long startedAt = System.nanoTime();

    Fleet(String recordFile, int hostCount) throws IOException {
        folder = Files.createTempDirectory("review");
        record = new PrintWriter(Files.newBufferedWriter(Path.of(recordFile)), true);
        store = new Store();
        List<Integer> peerPorts = new ArrayList<>();
        for (int index = 0; index < hostCount; index++) {
            peerPorts.add(Host.freePort());
        }
        for (int index = 0; index < hostCount; index++) {
            hosts.add(new Host("edge-" + (index + 1), folder, store.port(), peerPorts.subList(0, Math.min(3, hostCount)),
                    peerPorts.get(index)));
        }
        // Also if this program is ended from outside, no host stays behind.
        Runtime.getRuntime().addShutdownHook(new Thread(() -> hosts.forEach(Host::close)));
    }

    /** What a case does; it ends with {@link #exit}. */
    interface Case {
        void run(Fleet fleet) throws Exception;
    }

    /** Runs a case; one that fails for a reason of its own exits with 2. */
    static void play(String[] arguments, int hostCount, Case played) throws IOException {
        Fleet fleet = new Fleet(arguments[0], hostCount);
        try {
            played.run(fleet);
        } catch (Exception failure) {
            fleet.write("the case failed: %s", failure);
        }
        fleet.exit(2);
    }

    static boolean hasTrouble() {
        return !"0".equals(System.getenv("TROUBLE"));
    }

    Runner add(Runner runner, String zone, int slots) {
        store.put("servers", runner.id, runner.entry(zone, slots, "ready"));
        return runner;
    }

    void startAll() throws IOException, InterruptedException {
        startAll(0);
    }

    /** Starts the hosts; a limit on their descriptors of 0 is the one of this program. */
    void startAll(int maxDescriptors) throws IOException, InterruptedException {
        for (Host host : hosts) {
            if (maxDescriptors > 0) {
                host.start(maxDescriptors);
            } else {
                host.start();
            }
        }
        for (Host host : hosts) {
            if (!host.awaitReady(30)) {
                write("%s isn't ready; its process is %s", host.name, host.process.isAlive() ? "running" : "gone");
                host.lastOutput().forEach(line -> write("%s", line));
                exit(2);
            }
        }
        Thread.sleep(3_500);
    }

    double now() {
        return (System.nanoTime() - startedAt) / 1e9;
    }

    synchronized void write(String format, Object... values) {
        record.println(String.format(Locale.ROOT, "%8.3f s  ", now()) + String.format(Locale.ROOT, format, values));
    }

    /** Writes the last lines of the record, ends all processes and exits. */
    void exit(int code) {
        hosts.forEach(Host::close);
        for (Host host : hosts) {
            host.otherOutput().forEach(line -> write("%s printed: %s", host.name, line));
        }
        write(switch (code) {
            case 0 -> "RESULT: the rule held";
            case 1 -> "RESULT: the rule was broken";
            default -> "RESULT: the case couldn't run";
        });
        deleteFolder();
        Runtime.getRuntime().halt(code);
    }

    private void deleteFolder() {
        try (var files = Files.list(folder)) {
            for (Path file : files.toList()) {
                Files.delete(file);
            }
            Files.delete(folder);
        } catch (IOException failure) {
            write("the temporary folder can't be deleted: %s", failure);
        }
    }

    static String route(String name, String prefix, String type, String service, int timeout, int goal, int attempts) {
        return "{\"name\":\"" + name + "\",\"host\":\"review.example\",\"path_prefix\":\"" + prefix + "\",\"type\":\"" + type
                + "\",\"timeout_ms\":" + timeout + ",\"latency_goal_ms\":" + goal
                + ",\"priority\":1,\"service\":\"" + service + "\",\"max_attempts\":" + attempts
                + ",\"public\":false,\"sticky\":" + type.equals("streaming") + ",\"resumable\":false,\"gap_goal_ms\":"
                + (type.equals("streaming") ? 300 : 0) + "}";
    }

    static String engine(String name, double coldSeconds, double coldRate) {
        return "{\"name\":\"" + name + "\",\"health_path\":\"/healthz\",\"max_conns\":370,\"protocol\":\"h1\",\"tls\":false,"
                + "\"cold_start_s\":" + coldSeconds + ",\"cold_per_s\":" + coldRate
                + ",\"runtime\":{\"slots\":64,\"kv_capacity\":644462,\"kv_token_bytes\":35136,\"link_mbps\":740000.0,"
                + "\"moves\":false,\"models\":[{\"name\":\"m\"}]}}";
    }

    static String plain(String name) {
        return "{\"name\":\"" + name + "\",\"health_path\":\"/healthz\",\"max_conns\":110,\"protocol\":\"h1\",\"tls\":false,"
                + "\"cold_start_s\":0.0,\"cold_per_s\":0.0}";
    }

    static String configuration(int version, List<String> routes, List<String> services) {
        return "{\"version\":" + version + ",\"routes\":[" + String.join(",", routes) + "],\"services\":["
                + String.join(",", services) + "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":" + MAX_BODY_BYTES
                + ",\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000,\"tokens_per_s\":399000},"
                + "\"tenants\":[{\"name\":\"t-1\",\"api_keys\":[\"key-1\"],\"priority\":1}]}";
    }
}
