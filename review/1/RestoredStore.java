import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The store is away for a moment and comes back from a copy some seconds old. What the operator and the runners wrote since is
 * written again. A version that is acknowledged later takes a tenant's key away and moves the route; the hosts ignore it.
 */
public final class RestoredStore {

    private static final int CLIENTS = 12;
    private static final int STORM_CHANGES = 12;
    private static final long STORM_GAP_MILLIS = 330;
    private static final long AWAY_MILLIS = 1_000;
    private static final double CONFIG_SECONDS = 2.0;
    /** Later than {@code contact_ms} + 1 s after the store's return, so that it is stable and hosts are in touch. */
    private static final long CHANGE_AFTER_MILLIS = 5_000;
    private static final double END_AFTER_SECONDS = 14;

    private record Call(String id, String key, double sentAt, int status, String failure) {}

    private final Fleet fleet;
    private final Queue<Call> calls = new ConcurrentLinkedQueue<>();
    private final Map<String, String> ranAt = new ConcurrentHashMap<>();
    private final AtomicInteger numbers = new AtomicInteger();
    private final List<Runner> runners = new ArrayList<>();
    private volatile double endAt = Double.MAX_VALUE;
    private int version = 1;

    private RestoredStore(Fleet fleet) {
        this.fleet = fleet;
    }

    public static void main(String[] arguments) throws IOException {
        Fleet.play(arguments, 3, fleet -> new RestoredStore(fleet).run());
    }

    private void run() throws Exception {
        for (String id : List.of("old-1", "old-2", "new-1", "new-2")) {
            String service = id.startsWith("old") ? "ledger-old" : "ledger-new";
            runners.add(fleet.add(new Runner(id, service, (request, output) -> respond(id, request, output)), "a", 6));
        }
        writeVersion("ledger-old", true);
        fleet.startAll();
        fleet.write("three hosts are ready");
        List<Thread> clients = new ArrayList<>();
        for (int index = 0; index < CLIENTS; index++) {
            Host host = fleet.hosts.get(index % 3);
            String key = index / 3 % 2 == 0 ? "key-1" : "key-2";
            clients.add(Thread.startVirtualThread(() -> keepCalling(host, key)));
        }
        Thread.sleep(1_000);
        fleet.write("the store's copy is made at revision %d", fleet.store.makeCopy());
        for (int change = 0; change < STORM_CHANGES; change++) {
            writeVersion("ledger-old", true);
            Thread.sleep(STORM_GAP_MILLIS);
        }
        fleet.write("the operator has written %d versions, the last at revision %d", STORM_CHANGES, fleet.store.revision());
        if (Fleet.hasTrouble()) {
            fleet.store.goAway();
            Thread.sleep(AWAY_MILLIS);
            fleet.store.restoreCopy();
            fleet.write("the store was away for %d ms and is back at revision %d, Store-Era 2", AWAY_MILLIS,
                    fleet.store.revision());
            version -= 1;
            writeVersion("ledger-old", true);
            for (Runner runner : runners) {
                fleet.store.put("servers", runner.id, runner.entry("a", 6, "ready"));
            }
            fleet.write("the operator and the runners have written again; revision %d", fleet.store.revision());
        }
        long readsBefore = fleet.store.reads();
        Thread.sleep(CHANGE_AFTER_MILLIS);
        fleet.write("the hosts made %d reading calls to the store in %d ms", fleet.store.reads() - readsBefore,
                CHANGE_AFTER_MILLIS);
        writeVersion("ledger-new", false);
        double acknowledgedAt = fleet.now();
        endAt = acknowledgedAt + END_AFTER_SECONDS;
        for (Thread client : clients) {
            client.join();
        }
        judge(acknowledgedAt);
    }

    private void writeVersion(String service, boolean hasSecondKey) {
        version += 1;
        String text = Fleet.configuration(
                version,
                List.of(Fleet.route("records", "/records/", "non_idempotent", service, 1_000, 121, 1)),
                List.of(Fleet.plain("ledger-old"), Fleet.plain("ledger-new")));
        if (hasSecondKey) {
            text = text.replace("\"tenants\":[", "\"tenants\":[{\"name\":\"t-2\",\"api_keys\":[\"key-2\"],\"priority\":1},");
        }
        long revision = fleet.store.put("config", "main", text);
        fleet.write("version %d is acknowledged at revision %d: route to %s, key-2 %s", version, revision, service,
                hasSecondKey ? "valid" : "removed");
    }

    private boolean respond(String id, Runner.Request request, OutputStream output) throws Exception {
        ranAt.put(request.id(), id + " as " + request.headers().get("x-tenant"));
        Thread.sleep(10);
        String body = "record of " + request.id();
        Runner.write(output, Runner.head(request, 200) + "Content-Length: " + body.length() + "\r\n\r\n" + body);
        return true;
    }

    private void keepCalling(Host host, String key) {
        while (fleet.now() < endAt) {
            try (Client client = new Client(host.callerPort)) {
                boolean isKept = true;
                while (isKept && fleet.now() < endAt) {
                    String id = "record-" + numbers.incrementAndGet();
                    double sentAt = fleet.now();
                    Client.Answer answer =
                            client.call(Client.head("POST", "/records/1", id, 1_000, key, 100), new byte[100], 2_000);
                    calls.add(new Call(id, key, sentAt, answer.status(), answer.failure()));
                    isKept = answer.status() > 0;
                    Thread.sleep(200);
                }
            } catch (IOException refused) {
                // The next round of the loop tries again.
            } catch (InterruptedException interruption) {
                return;
            }
        }
    }

    private void judge(double acknowledgedAt) {
        double boundAt = acknowledgedAt + CONFIG_SECONDS;
        int later = 0;
        int withRemovedKey = 0;
        int atOldService = 0;
        Map<String, AtomicInteger> ends = new ConcurrentSkipListMap<>();
        for (Call call : calls) {
            String ran = ranAt.get(call.id());
            fleet.write("%s with %s sent at %.3f s: %d %s, %s", call.id(), call.key(), call.sentAt(), call.status(), call.failure(),
                    ran == null ? "didn't run" : "ran at " + ran);
            if (call.sentAt() <= boundAt) {
                continue;
            }
            later += 1;
            ends.computeIfAbsent(call.key() + ": " + call.status() + (ran == null ? "" : " from " + ran), any -> new AtomicInteger())
                    .incrementAndGet();
            withRemovedKey += ran != null && call.key().equals("key-2") ? 1 : 0;
            atOldService += ran != null && ran.startsWith("old") ? 1 : 0;
        }
        fleet.write("requests sent later than %.0f s after the acknowledgement: %s", CONFIG_SECONDS, ends);
        fleet.write("of these %d, %d ran with the removed key, %d at the old service", later, withRemovedKey, atOldService);
        fleet.exit(withRemovedKey + atOldService > 0 ? 1 : later < 50 ? 2 : 0);
    }
}
