package org.mangowall.edge.decision;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

import org.mangowall.edge.model.PromptDescription;
import org.mangowall.edge.model.Route;

/**
 * The properties of a request that decide its placement.
 *
 * @param route the route of the request
 * @param service the service chosen from the route's services
 * @param workspace the workspace of the request; empty on routes that need no API key
 * @param prompt the prompt; empty for a plain request
 * @param fingerprint the fingerprint that all repeats of the request share; empty while nothing is suspected to crash
 *     runners
 * @param softwareVersion the version of the runner's software that a stream must go on at; empty for any version
 * @param zone the availability zone of this host
 * @param excluded identifiers of runners that must not be used
 * @param elapsedMillis time since the request arrived
 * @param remainingMillis time until the caller's timeout
 * @param isContinuation whether part of the response has reached the caller, so that a rejection would cut it
 * @param draw a uniform random number from 0 to 1 for this decision
 */
public record PlacementRequest(
        Route route,
        String service,
        Optional<String> workspace,
        Optional<PromptDescription> prompt,
        OptionalLong fingerprint,
        Optional<String> softwareVersion,
        String zone,
        Set<String> excluded,
        double elapsedMillis,
        double remainingMillis,
        boolean isContinuation,
        double draw) {}
