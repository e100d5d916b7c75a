package org.mangowall.edge.model;

import java.time.Duration;
import java.util.Optional;

/**
 * The configuration of a service.
 *
 * @param name the name of the service
 * @param maxConnections how many connections each of its runners accepts from all hosts together
 * @param coldTime how long a runner stays cold after its start
 * @param coldRequestsPerSecond requests per second that a cold runner can serve; 0 when there is no limit
 * @param engine properties of its model engines; empty for a plain service
 */
public record ServiceDescription(
        String name,
        int maxConnections,
        Duration coldTime,
        double coldRequestsPerSecond,
        Optional<EngineTraits> engine) {}
