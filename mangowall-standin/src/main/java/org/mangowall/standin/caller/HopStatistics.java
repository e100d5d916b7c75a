package org.mangowall.standin.caller;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.JsonNode;
import org.mangowall.inventory.checked.HostAndPort;

/** Groups statistics by the number of routers on the route: one if the entry host is the runner's home, else two. */
final class HopStatistics {

    private HopStatistics() {}

    /** Groups the statistics of each route (entry host and runner) by the home routers in the routers' status. */
    static Map<String, Object> of(
            FleetClient fleetClient, List<HostAndPort> operators, Map<String, AttemptStatistics> statisticsByRoute) {
        Map<String, String> homeByRunner = new HashMap<>();
        for (HostAndPort operator : operators) {
            addHomes(
                    homeByRunner,
                    fleetClient
                            .getJson(FleetClient.baseUrl(operator) + "/mangowall/status")
                            .join());
        }
        Map<String, AttemptStatistics> groups = new TreeMap<>();
        statisticsByRoute.forEach((route, statistics) -> {
            String[] parts = route.split(" ", 2);
            groups.computeIfAbsent(groupName(parts[0], homeByRunner.get(parts[1])), name -> new AttemptStatistics())
                    .addAll(statistics);
        });
        Map<String, Object> document = new TreeMap<>();
        groups.forEach((name, statistics) -> document.put(name, statistics.toDocument()));
        return document;
    }

    private static String groupName(String entryAddress, String homeAddress) {
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
