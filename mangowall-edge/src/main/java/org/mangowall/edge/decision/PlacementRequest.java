package org.mangowall.edge.decision;

import java.util.Optional;
import java.util.Set;

import org.mangowall.edge.model.PromptDescription;
import org.mangowall.edge.model.Route;

/**
 * A request that needs a runner.
 *
 * @param route its route
 * @param service the service that was drawn for it
 * @param workspace whose request it is; empty on open routes
 * @param prompt the prompt, for a model engine
 * @param zone the availability zone of this host
 * @param excluded runners that must not be used, by identifier
 * @param elapsedMillis how long the caller has waited
 * @param leftMillis how long the caller still waits
 * @param draw a number from 0 to 1, drawn for this decision
 */
public record PlacementRequest(
        Route route,
        String service,
        Optional<String> workspace,
        Optional<PromptDescription> prompt,
        String zone,
        Set<String> excluded,
        double elapsedMillis,
        double leftMillis,
        double draw) {}
