package org.mangowall.edge.model;

import java.time.Duration;
import java.util.List;

/**
 * A routing rule from a host name and path prefix to weighted services.
 *
 * @param name the name in logs and metrics
 * @param hostName the host name of the requests, in lower case
 * @param pathPrefix the path prefix, which begins and ends with a slash
 * @param kind how often its requests may be executed
 * @param services the services that its requests are distributed over
 * @param timeout the longest time until a caller gets a response
 * @param latencyGoal target for the time to a response or to a stream's first event
 * @param gapGoal target for the time between events of a stream; zero when there is none
 * @param priority 0 is the most urgent
 * @param maxRunners how many runners one request may be sent to
 * @param isOpen whether requests need no API key
 */
public record Route(
        String name,
        String hostName,
        String pathPrefix,
        RequestKind kind,
        List<WeightedService> services,
        Duration timeout,
        Duration latencyGoal,
        Duration gapGoal,
        int priority,
        int maxRunners,
        boolean isOpen) {

    /** Copies the list. */
    public Route {
        services = List.copyOf(services);
    }

    /** Whether requests of this route may go to a service. */
    public boolean leadsTo(String service) {
        return services.stream().anyMatch(weighted -> weighted.service().equals(service));
    }

    /**
     * Chooses a service by weight.
     *
     * @param draw a uniform random number from 0 to 1 for this request
     */
    public String serviceFor(double draw) {
        double total = services.stream().mapToDouble(WeightedService::weight).sum();
        double rest = draw * total;
        for (WeightedService candidate : services) {
            rest -= candidate.weight();
            if (rest < 0) {
                return candidate.service();
            }
        }
        return services.getLast().service();
    }
}
