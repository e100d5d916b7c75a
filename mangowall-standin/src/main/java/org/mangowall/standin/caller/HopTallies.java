package org.mangowall.standin.caller;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.JsonNode;
import org.mangowall.inventory.checked.HostAndPort;

/** Latencies by the number of routers that a call passed: one when its entry is the runner's home, else two. */
final class HopTallies {

    private HopTallies() {}

    /** Groups the tallies of pairs of entry host and runner by the homes that the routers' status shows. */
    static Map<String, Object> of(FleetProbe probe, List<HostAndPort> operators, Map<String, Tally> tallyByPair) {
        Map<String, String> homeByRunner = new HashMap<>();
        for (HostAndPort operator : operators) {
            addHomes(
                    homeByRunner,
                    probe.getJson(FleetProbe.base(operator) + "/mangowall/status")
                            .join());
        }
        Map<String, Tally> groups = new TreeMap<>();
        tallyByPair.forEach((pair, tally) -> {
            String[] parts = pair.split(" ", 2);
            groups.computeIfAbsent(group(parts[0], homeByRunner.get(parts[1])), name -> new Tally())
                    .addAll(tally);
        });
        Map<String, Object> document = new TreeMap<>();
        groups.forEach((name, tally) -> document.put(name, tally.toDocument()));
        return document;
    }

    private static String group(String entryAddress, String homeAddress) {
        if (homeAddress == null) {
            return "direct_or_unknown";
        }
        return entryAddress.equals(homeAddress) ? "one_hop" : "two_hops";
    }

    private static void addHomes(Map<String, String> homeByRunner, JsonNode status) {
        String name = status.path("router").asText();
        String address = "";
        for (JsonNode member : status.path("members")) {
            if (member.path("name").asText().equals(name)) {
                address = "http://" + member.path("caller_address").asText();
            }
        }
        for (JsonNode runner : status.path("runners")) {
            homeByRunner.put(runner.path("name").asText(), address);
        }
    }
}
