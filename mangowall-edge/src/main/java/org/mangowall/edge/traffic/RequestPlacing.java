package org.mangowall.edge.traffic;

import java.util.HashSet;
import java.util.OptionalLong;
import java.util.Set;

import org.mangowall.edge.decision.PlacementDecision;
import org.mangowall.edge.decision.PlacementRequest;
import org.mangowall.edge.decision.StreamOrigin;
import org.mangowall.edge.model.RunnerEntry;

/** Asks for a runner for a request, also once more when one has failed or is out of reach. */
final class RequestPlacing {

    private final EdgeContext context;
    private final Exchange exchange;
    private final RunnerConnections runners;
    private final Set<String> excluded = new HashSet<>();

    RequestPlacing(EdgeContext context, Exchange exchange, RunnerConnections runners) {
        this.context = context;
        this.exchange = exchange;
        this.runners = runners;
    }

    /** Keeps the request from being sent to a runner again. */
    void exclude(RunnerEntry runner) {
        excluded.add(runner.identifier());
    }

    /** Prefers runners to which this host has a connection or may open one. */
    PlacementDecision decide() {
        Set<String> unusable = runners.runnersWithoutConnection();
        if (!unusable.isEmpty()) {
            unusable.addAll(excluded);
            PlacementDecision decision = decide(unusable);
            if (decision instanceof PlacementDecision.Send) {
                return decision;
            }
        }
        return decide(excluded);
    }

    private PlacementDecision decide(Set<String> avoided) {
        PlacementRequest request = new PlacementRequest(
                exchange.route(),
                exchange.service(),
                exchange.workspace(),
                exchange.prompt(),
                context.fleet().quarantine().hasSuspects()
                        ? OptionalLong.of(exchange.fingerprint())
                        : OptionalLong.empty(),
                exchange.stream().origin().map(StreamOrigin::softwareVersion),
                context.zone(),
                avoided,
                exchange.timing().elapsedMillis(),
                exchange.timing().remainingMillis(),
                exchange.hasResponseStarted(),
                context.nextRandom());
        return context.placement().decide(request, context.now());
    }
}
