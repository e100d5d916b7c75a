package org.mangowall.standin.caller;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

import com.fasterxml.jackson.databind.JsonNode;
import org.mangowall.inventory.checked.HostAndPort;

/**
 * The entry host that each workspace uses, chosen from the system's answer and kept for the time that it allows.
 *
 * <p>Used by the load's duty only; it asks in the background and goes on with the old list meanwhile.
 */
final class EntryHosts {

    private static final long RETRY_NANOS = 500_000_000;

    private final FleetProbe probe;
    private final List<HostAndPort> routers;
    private final RandomGenerator random;
    private final Map<String, String> chosen = new HashMap<>();
    private volatile EntryList list = new EntryList(List.of(), 0);
    private long askAgainNanos;
    private int nextRouter;

    EntryHosts(FleetProbe probe, List<HostAndPort> routers, RandomGenerator random) {
        this.probe = probe;
        this.routers = routers;
        this.random = random;
    }

    /** Asks again when the time has come. */
    void refresh(long nowNanos) {
        if (nowNanos - askAgainNanos < 0 || routers.isEmpty() || list.isKept(nowNanos)) {
            return;
        }
        askAgainNanos = nowNanos + RETRY_NANOS;
        HostAndPort router = routers.get(Math.floorMod(nextRouter++, routers.size()));
        probe.getJson(FleetProbe.base(router) + "/mangowall/entry-hosts").thenAccept(this::take);
    }

    private void take(JsonNode document) {
        List<String> addresses = new ArrayList<>();
        for (JsonNode host : document.path("entry_hosts")) {
            addresses.add("http://" + host.path("host").asText() + ":"
                    + host.path("port").asInt());
        }
        if (!addresses.isEmpty()) {
            long keepNanos =
                    TimeUnit.MILLISECONDS.toNanos(document.path("keep_millis").asLong());
            list = new EntryList(addresses, System.nanoTime() + keepNanos);
        }
    }

    boolean isEmpty() {
        return list.addresses().isEmpty();
    }

    /** The workspace's entry host; chosen anew when the system no longer names it. */
    String of(String workspace) {
        List<String> addresses = list.addresses();
        String present = chosen.get(workspace);
        if (present != null && addresses.contains(present)) {
            return present;
        }
        return chooseAnew(workspace);
    }

    /** Takes another entry host after a failure. */
    String chooseAnew(String workspace) {
        List<String> addresses = list.addresses();
        String address = addresses.get(random.nextInt(addresses.size()));
        chosen.put(workspace, address);
        return address;
    }

    /** An answer of the system and until when it may be kept. */
    private record EntryList(List<String> addresses, long keptUntilNanos) {

        boolean isKept(long nowNanos) {
            return !addresses.isEmpty() && nowNanos - keptUntilNanos < 0;
        }
    }
}
