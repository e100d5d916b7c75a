package org.mangowall.standin.caller;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.databind.JsonNode;
import org.mangowall.inventory.Runner;

/** A snapshot of the counters of all runner stand-ins. */
final class RunnerSnapshot {

    private final long takenNanos = System.nanoTime();
    private final Map<Runner, JsonNode> controlByRunner = new LinkedHashMap<>();

    static RunnerSnapshot take(FleetClient fleetClient, List<Runner> runners) {
        RunnerSnapshot snapshot = new RunnerSnapshot();
        Map<Runner, CompletableFuture<JsonNode>> responses = new LinkedHashMap<>();
        for (Runner runner : runners) {
            responses.put(runner, fleetClient.getJson("http://" + runner.host() + ":" + runner.port() + "/control"));
        }
        responses.forEach((runner, response) -> snapshot.controlByRunner.put(runner, response.join()));
        return snapshot;
    }

    /** Returns each service's slot utilisation since the earlier snapshot and its overloads since the start. */
    Map<String, Object> since(RunnerSnapshot earlier) {
        Map<String, long[]> busyAndSlots = new TreeMap<>();
        Map<String, Long> overloads = new TreeMap<>();
        controlByRunner.forEach((runner, control) -> {
            JsonNode before = earlier.controlByRunner.get(runner);
            String service = runner.service().value();
            long[] sums = busyAndSlots.computeIfAbsent(service, name -> new long[2]);
            sums[0] += control.path("busy_slot_millis").asLong()
                    - before.path("busy_slot_millis").asLong();
            sums[1] += runner.slots();
            overloads.merge(service, control.path("overloads").asLong(), Long::sum);
        });
        double elapsedMillis = (takenNanos - earlier.takenNanos) / 1e6;
        Map<String, Object> document = new LinkedHashMap<>();
        busyAndSlots.forEach((service, sums) -> document.put(
                service,
                Map.of(
                        "utilisation",
                        sums[0] / (sums[1] * elapsedMillis),
                        "overloads_since_start",
                        overloads.get(service))));
        return document;
    }
}
