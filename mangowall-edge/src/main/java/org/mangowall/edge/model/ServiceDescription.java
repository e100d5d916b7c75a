package org.mangowall.edge.model;

import java.time.Duration;
import java.util.Optional;

/**
 * A service of the configuration.
 *
 * @param name its name
 * @param mostConnections how many connections one of its runners takes from all hosts together
 * @param coldTime how long a runner stays cold after its start
 * @param coldRequestsPerSecond how many requests a second a cold runner bears; 0 when it bears all
 * @param engine the traits of its model engines; empty for a plain service
 */
public record ServiceDescription(
        String name,
        int mostConnections,
        Duration coldTime,
        double coldRequestsPerSecond,
        Optional<EngineTraits> engine) {}
