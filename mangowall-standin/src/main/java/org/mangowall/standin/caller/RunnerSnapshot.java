package org.mangowall.standin.caller;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.databind.JsonNode;
import org.mangowall.inventory.Runner;

/** The counters of all runners' stand-ins at one moment. */
final class RunnerSnapshot {

    private final long takenNanos = System.nanoTime();
    private final Map<Runner, JsonNode> controls = new LinkedHashMap<>();

    static RunnerSnapshot take(FleetProbe probe, List<Runner> runners) {
        RunnerSnapshot snapshot = new RunnerSnapshot();
        Map<Runner, CompletableFuture<JsonNode>> answers = new LinkedHashMap<>();
        for (Runner runner : runners) {
            answers.put(runner, probe.getJson("http://" + runner.host() + ":" + runner.port() + "/control"));
        }
        answers.forEach((runner, answer) -> snapshot.controls.put(runner, answer.join()));
        return snapshot;
    }

    /** The share of slots that was busy since the earlier snapshot, and overloads, by service. */
    Map<String, Object> since(RunnerSnapshot earlier) {
        Map<String, long[]> busyAndSlots = new TreeMap<>();
        Map<String, Long> overloads = new TreeMap<>();
        controls.forEach((runner, control) -> {
            JsonNode before = earlier.controls.get(runner);
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
