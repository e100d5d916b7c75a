package review;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Half of the hosts lose power for two seconds, while another host is restarted in order and a runner is replaced.
 * TROUBLE=0: no host loses power.
 */
final class LostRemoval {

    private static final int HOSTS = 8;
    /** The hosts that read the store for the others. */
    private static final int READERS = 4;
    private static final String KEY = "asnmgkcuyj8pjbvk9m68";
    private static final double DRAIN_SECONDS = 2.0;
    private static final double MARGIN_SECONDS = 0.2;
    /** How long the old runner serves after its entry was removed. */
    private static final int SERVING_MILLIS = Integer.getInteger("serving", 9_000);
    /** The loss of power comes so long before the restarted host is expected to read the store. */
    private static final int LEAD_MILLIS = 170;

    private static final int DARK_MILLIS = 2_000;

    private LostRemoval() {}

    private static final String CONFIGURATION =
            """
            {"version":7,"routes":[
             {"name":"r-record","host":"shop.example","path_prefix":"/record/","type":"non_idempotent",
              "timeout_ms":1000,"latency_goal_ms":100,"priority":1,"service":"registre","max_attempts":1,
              "public":false}],
             "services":[{"name":"registre","health_path":"/healthz","max_conns":110,"protocol":"h1","tls":false,
              "cold_start_s":0.0,"cold_per_s":0.0}],
             "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
              "idle_timeout_ms":15000,"tokens_per_s":399000},
             "tenants":[{"name":"hule930","api_keys":["%s"],"priority":1}]}
            """.formatted(KEY);

    /** Names in the order in which hosts are chosen as readers of the store, which follows from the names. */
    private static List<String> rankedNames() {
        List<String> names = new ArrayList<>();
        for (String zone : List.of("a", "b", "c")) {
            for (int number = 1; number <= 3; number++) {
                names.add("edge-" + zone + "-" + number);
            }
        }
        names.sort(Comparator.comparingInt(name -> name.hashCode() * 0x9E3779B9));
        return names;
    }

    /** How requests of a caller ended. */
    private static final class Counts {
        final AtomicInteger served = new AtomicInteger();
        final AtomicInteger refused = new AtomicInteger();
        final AtomicInteger failed = new AtomicInteger();
        final AtomicInteger other = new AtomicInteger();
    }

    private static StandIns.Runner runner(String identifier, Map<String, StandIns.Arrival> arrivals, StandIns.Record record)
            throws IOException {
        StandIns.Runner[] self = new StandIns.Runner[1];
        self[0] = new StandIns.Runner(identifier, "registre", 6, (request, output) -> {
            String name = request.header("x-attempt-id");
            arrivals.put(name, new StandIns.Arrival(name, record.seconds()));
            sleep(60);
            self[0].respond(request, output, new byte[800]);
        });
        return self[0];
    }

    static int run(StandIns.Record record, Path directory) throws Exception {
        List<StandIns.Runner> runners = new ArrayList<>();
        List<StandIns.Host> hosts = new ArrayList<>();
        Map<String, StandIns.Arrival> arrivals = new ConcurrentHashMap<>();
        Map<String, StandIns.Arrival> arrivalsAtOld = new ConcurrentHashMap<>();
        AtomicBoolean isOver = new AtomicBoolean();
        Counts counts = new Counts();
        ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor();
        try (StandIns.Store store = new StandIns.Store()) {
            store.put("config", "main", CONFIGURATION);
            for (int number = 1; number <= 3; number++) {
                StandIns.Runner started = runner("i-" + number, arrivals, record);
                runners.add(started);
                store.put("servers", started.identifier(), started.entry("ready", 1));
            }
            StandIns.Runner old = runner("i-old", arrivalsAtOld, record);
            runners.add(old);
            store.put("servers", old.identifier(), old.entry("ready", 1));
            List<Integer> ports = new ArrayList<>();
            for (int number = 0; number < HOSTS; number++) {
                ports.add(StandIns.Host.freePort());
            }
            long[] firstCallAt = new long[1];
            AtomicReference<CountDownLatch> removal = new AtomicReference<>(new CountDownLatch(0));
            int portForRestarted = store.listenAlso(() -> {
                        if (firstCallAt[0] == 0) {
                            firstCallAt[0] = System.nanoTime();
                        }
                        await(removal.get());
                    })
                    .getPort();
            List<String> names = rankedNames();
            List<Integer> seeds = List.of(ports.get(0), ports.get(READERS), ports.get(READERS + 1));
            for (int number = 0; number < HOSTS; number++) {
                String name = names.get(number);
                int storePort = number == HOSTS - 1 ? portForRestarted : store.address().getPort();
                hosts.add(new StandIns.Host(
                        name, name.substring(5, 6), directory, storePort, ports.get(number), seeds));
            }
            List<StandIns.Host> readers = hosts.subList(0, READERS);
            List<StandIns.Host> calm = hosts.subList(READERS, HOSTS - 1);
            StandIns.Host restarted = hosts.get(HOSTS - 1);
            for (StandIns.Host host : hosts) {
                host.start();
            }
            for (StandIns.Host host : hosts) {
                host.awaitReady();
            }
            record.write("%d hosts are ready", HOSTS);
            Thread.sleep(3_000);
            long startMillis = Long.MAX_VALUE;
            for (int restart = 0; restart < 2; restart++) {
                restarted.terminate();
                firstCallAt[0] = 0;
                long startedAt = System.nanoTime();
                restarted.start();
                restarted.awaitReady();
                long tookMillis = TimeUnit.NANOSECONDS.toMillis(firstCallAt[0] - startedAt);
                startMillis = Math.min(startMillis, tookMillis);
                record.write("%s was restarted in order; it reads the store after %d ms", restarted.name(), tookMillis);
            }
            Thread.sleep(3_000);
            for (int number = 0; number < calm.size(); number++) {
                int caller = number;
                for (String name : List.of("p", "q", "r", "s")) {
                    threads.execute(() -> caller(name, calm.get(caller), counts, isOver));
                }
            }
            Thread.sleep(2_000);

            restarted.terminate();
            // Should the host start sooner than before, the store answers it once the removal is acknowledged.
            removal.set(new CountDownLatch(1));
            record.write("%s has ended in order and starts again", restarted.name());
            restarted.start();
            Thread.sleep(Math.max(0, startMillis - LEAD_MILLIS));
            if (StandIns.isTrouble()) {
                StandIns.Host.signal("STOP", readers);
                record.write("%d of %d hosts lose power", READERS, HOSTS);
            }
            StandIns.Runner replacement = runner("i-new", arrivals, record);
            runners.add(replacement);
            store.put("servers", replacement.identifier(), replacement.entry("ready", 1));
            store.delete("servers", old.identifier());
            double removedAt = record.seconds();
            removal.get().countDown();
            record.write("the store acknowledges: the new runner is registered, the old one's entry is removed");
            Thread.sleep(DARK_MILLIS);
            if (StandIns.isTrouble()) {
                StandIns.Host.signal("KILL", readers);
                Thread.sleep(100);
                for (StandIns.Host host : readers) {
                    host.start();
                }
                record.write("they start again");
            }
            Thread.sleep(SERVING_MILLIS - DARK_MILLIS);
            int failedBefore = counts.failed.get();
            old.exit();
            record.write("the old runner exits");
            Thread.sleep(2_000);
            record.write("requests that its exit cut, of callers that got 502 or 504: %d",
                    counts.failed.get() - failedBefore);
            isOver.set(true);
            Thread.sleep(300);
            record.write("callers: served %d, refused %d, failed (502, 504) %d, other %d", counts.served.get(),
                    counts.refused.get(), counts.failed.get(), counts.other.get());
            return verdict(record, arrivals, arrivalsAtOld, removedAt);
        } finally {
            isOver.set(true);
            threads.shutdownNow();
            hosts.forEach(StandIns.Host::close);
            for (StandIns.Runner runner : runners) {
                runner.close();
            }
        }
    }

    private static int verdict(
            StandIns.Record record,
            Map<String, StandIns.Arrival> arrivals,
            Map<String, StandIns.Arrival> arrivalsAtOld,
            double removedAt) {
        int late = 0;
        List<StandIns.Arrival> sorted = new ArrayList<>(arrivalsAtOld.values());
        sorted.sort(Comparator.comparingDouble(StandIns.Arrival::at));
        for (StandIns.Arrival arrival : sorted) {
            if (arrival.at() > removedAt + DRAIN_SECONDS + MARGIN_SECONDS) {
                late += 1;
                record.write("%s reached the old runner %.3f s after the acknowledgement", arrival.request(),
                        arrival.at() - removedAt);
            }
        }
        record.write("requests: %d at other runners, %d at the old one, of which %d came later than allowed",
                arrivals.size(), arrivalsAtOld.size(), late);
        if (arrivals.size() < 200 || arrivalsAtOld.isEmpty()) {
            return 2;
        }
        return late > 0 ? 1 : 0;
    }

    private static void caller(String name, StandIns.Host host, Counts counts, AtomicBoolean isOver) {
        StandIns.Connection connection = null;
        int count = 0;
        while (!isOver.get()) {
            count += 1;
            try {
                if (connection == null) {
                    connection = new StandIns.Connection(host.callerPort, 0, 1_500);
                }
                connection.send(
                        "POST", "/record/" + count, host.name() + "-" + name + "-" + count, KEY, 1_000, new byte[300]);
                StandIns.Message answer = connection.receive();
                int status = answer == null ? 0 : answer.status();
                AtomicInteger counter = switch (status) {
                    case 200 -> counts.served;
                    case 429, 503 -> counts.refused;
                    case 502, 504 -> counts.failed;
                    default -> counts.other;
                };
                counter.incrementAndGet();
                if (answer == null || answer.header("connection").equalsIgnoreCase("close")) {
                    connection.close();
                    connection = null;
                }
            } catch (IOException broken) {
                if (!isOver.get()) {
                    counts.other.incrementAndGet();
                }
                if (connection != null) {
                    connection.close();
                    connection = null;
                }
            }
            sleep(30);
        }
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException interruption) {
            Thread.currentThread().interrupt();
        }
    }

    private static void sleep(long millis) {
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (InterruptedException interruption) {
            Thread.currentThread().interrupt();
        }
    }

    public static void main(String[] arguments) {
        StandIns.run(Path.of(arguments[0]), LostRemoval::run);
    }
}
