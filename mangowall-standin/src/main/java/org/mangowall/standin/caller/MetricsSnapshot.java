package org.mangowall.standin.caller;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.mangowall.inventory.checked.HostAndPort;

/** A snapshot of the bytes sent between routers by message type, from the metrics of all routers. */
final class MetricsSnapshot {

    private static final Pattern PEER_BYTES =
            Pattern.compile("mangowall_peer_bytes_total\\{direction=\"out\",type=\"([a-z_]+)\"} ([0-9.Ee+]+)");
    private static final Set<String> DATA_TYPES =
            Set.of("forward_request", "answer_head", "answer_body", "answer_end", "refusal_notice");

    private final long takenNanos = System.nanoTime();
    private final int routers;
    private final Map<String, Double> bytesByType = new TreeMap<>();

    private MetricsSnapshot(int routers) {
        this.routers = routers;
    }

    static MetricsSnapshot take(FleetClient fleetClient, List<HostAndPort> operators) {
        MetricsSnapshot snapshot = new MetricsSnapshot(operators.size());
        for (HostAndPort operator : operators) {
            snapshot.add(fleetClient
                    .getText(FleetClient.baseUrl(operator) + "/metrics")
                    .join());
        }
        return snapshot;
    }

    private void add(String metrics) {
        Matcher matcher = PEER_BYTES.matcher(metrics);
        while (matcher.find()) {
            bytesByType.merge(matcher.group(1), Double.parseDouble(matcher.group(2)), Double::sum);
        }
    }

    /** Returns the mean bytes per second and router since the earlier snapshot, by type and in total for control. */
    Map<String, Object> since(MetricsSnapshot earlier) {
        double routerSeconds = Math.max(1, routers) * (takenNanos - earlier.takenNanos) / 1e9;
        Map<String, Object> byType = new LinkedHashMap<>();
        double controlBytesPerSecond = 0;
        for (Map.Entry<String, Double> entry : bytesByType.entrySet()) {
            double bytesPerSecond =
                    (entry.getValue() - earlier.bytesByType.getOrDefault(entry.getKey(), 0.0)) / routerSeconds;
            byType.put(entry.getKey(), bytesPerSecond);
            controlBytesPerSecond += DATA_TYPES.contains(entry.getKey()) ? 0 : bytesPerSecond;
        }
        return Map.of("control_bytes_per_second_per_router", controlBytesPerSecond, "by_type", byType);
    }
}
