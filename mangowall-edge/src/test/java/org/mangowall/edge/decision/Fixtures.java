package org.mangowall.edge.decision;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

import org.mangowall.edge.model.CallerLimits;
import org.mangowall.edge.model.EngineTraits;
import org.mangowall.edge.model.PromptDescription;
import org.mangowall.edge.model.PromptPart;
import org.mangowall.edge.model.RequestKind;
import org.mangowall.edge.model.Route;
import org.mangowall.edge.model.RouteTable;
import org.mangowall.edge.model.RunnerEntry;
import org.mangowall.edge.model.ServiceDescription;
import org.mangowall.edge.model.WeightedService;

/** Test data shared by the placement tests. */
final class Fixtures {

    static final String ENGINES = "engines";
    static final String PLAIN = "plain";
    static final long WINDOW_NANOS = 4_000_000_000L;
    static final long MILLI = 1_000_000L;
    static final Route STREAMS = route("streams", RequestKind.STREAM, ENGINES, 600, 12_000, 1);
    static final Route CALLS = route("calls", RequestKind.IDEMPOTENT, PLAIN, 100, 600, 2);

    private Fixtures() {}

    static Route route(
            String name, RequestKind kind, String service, long goalMillis, long timeoutMillis, int maxRunners) {
        return new Route(
                name,
                "host",
                "/" + name + "/",
                kind,
                List.of(new WeightedService(service, 1)),
                Duration.ofMillis(timeoutMillis),
                Duration.ofMillis(goalMillis),
                Duration.ofMillis(300),
                1,
                maxRunners,
                false);
    }

    static RouteTable table(double tokensPerSecond, double coldRequestsPerSecond) {
        return new RouteTable(
                1,
                List.of(STREAMS, CALLS),
                List.of(
                        new ServiceDescription(
                                ENGINES,
                                370,
                                Duration.ofSeconds(3),
                                coldRequestsPerSecond,
                                Optional.of(new EngineTraits(64, 644_462, 35_136, 92_500_000, false))),
                        new ServiceDescription(PLAIN, 110, Duration.ZERO, 0, Optional.empty())),
                true,
                Map.of("key", "workspace"),
                CallerLimits.DEFAULT,
                tokensPerSecond);
    }

    static RunnerEntry runner(String identifier, String service, String zone, long coldMillis) {
        return new RunnerEntry(
                identifier,
                0,
                service,
                "v1",
                new InetSocketAddress("127.0.0.1", 1 + Math.floorMod(identifier.hashCode(), 60_000)),
                zone,
                service.equals(ENGINES) ? 64 : 6,
                false,
                Duration.ofMillis(coldMillis));
    }

    static PlacementRequest stream(String workspace, PromptDescription prompt, double draw) {
        return new PlacementRequest(
                STREAMS,
                ENGINES,
                Optional.of(workspace),
                Optional.of(prompt),
                OptionalLong.empty(),
                Optional.empty(),
                "a",
                Set.of(),
                0,
                12_000,
                false,
                draw);
    }

    static PlacementRequest call(double draw, Set<String> excluded) {
        return new PlacementRequest(
                CALLS,
                PLAIN,
                Optional.of("w"),
                Optional.empty(),
                OptionalLong.empty(),
                Optional.empty(),
                "a",
                excluded,
                0,
                600,
                false,
                draw);
    }

    static PromptDescription prompt(int tokens, int output, long... sharedParts) {
        List<PromptPart> parts = new ArrayList<>();
        for (long part : sharedParts) {
            parts.add(new PromptPart(part, tokens / (sharedParts.length + 1)));
        }
        return new PromptDescription(tokens, output, parts);
    }
}
