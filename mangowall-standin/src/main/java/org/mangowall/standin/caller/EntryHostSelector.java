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
 * Selects the entry host of each workspace from the list that the routers return, cached for the lifetime they allow.
 *
 * <p>Confined to the load generator's thread; refreshes the list asynchronously and uses the old one meanwhile.
 */
final class EntryHostSelector {

    private static final long RETRY_NANOS = 500_000_000;

    private final FleetClient fleetClient;
    private final List<HostAndPort> routers;
    private final RandomGenerator random;
    private final Map<String, String> selectedByWorkspace = new HashMap<>();
    private volatile CachedAddresses cache = new CachedAddresses(List.of(), 0);
    private long nextRequestNanos;
    private int nextRouter;

    EntryHostSelector(FleetClient fleetClient, List<HostAndPort> routers, RandomGenerator random) {
        this.fleetClient = fleetClient;
        this.routers = routers;
        this.random = random;
    }

    /** Requests a new list when the cached one has expired. */
    void refresh(long nowNanos) {
        if (nowNanos - nextRequestNanos < 0 || routers.isEmpty() || cache.isFresh(nowNanos)) {
            return;
        }
        nextRequestNanos = nowNanos + RETRY_NANOS;
        HostAndPort router = routers.get(Math.floorMod(nextRouter++, routers.size()));
        fleetClient
                .getJson(FleetClient.baseUrl(router) + "/mangowall/entry-hosts")
                .thenAccept(this::cacheAddresses);
    }

    private void cacheAddresses(JsonNode document) {
        List<String> addresses = new ArrayList<>();
        for (JsonNode host : document.path("entry_hosts")) {
            addresses.add("http://" + host.path("host").asText() + ":"
                    + host.path("port").asInt());
        }
        if (!addresses.isEmpty()) {
            long lifetimeNanos =
                    TimeUnit.MILLISECONDS.toNanos(document.path("keep_millis").asLong());
            cache = new CachedAddresses(addresses, System.nanoTime() + lifetimeNanos);
        }
    }

    boolean isEmpty() {
        return cache.addresses().isEmpty();
    }

    /** Returns the workspace's entry host; selects another one when the list no longer contains it. */
    String forWorkspace(String workspace) {
        List<String> addresses = cache.addresses();
        String current = selectedByWorkspace.get(workspace);
        if (current != null && addresses.contains(current)) {
            return current;
        }
        return reselect(workspace);
    }

    /** Selects an entry host at random, for instance after a failure. */
    String reselect(String workspace) {
        List<String> addresses = cache.addresses();
        String address = addresses.get(random.nextInt(addresses.size()));
        selectedByWorkspace.put(workspace, address);
        return address;
    }

    /** A list of entry host addresses and the time at which it expires. */
    private record CachedAddresses(List<String> addresses, long expiresAtNanos) {

        boolean isFresh(long nowNanos) {
            return !addresses.isEmpty() && nowNanos - expiresAtNanos < 0;
        }
    }
}
