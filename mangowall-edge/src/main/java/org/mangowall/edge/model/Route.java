package org.mangowall.edge.model;

import java.time.Duration;
import java.util.List;

/**
 * A rule that sends requests of a host name and path prefix to services.
 *
 * @param name the name that logs and metrics use
 * @param hostName the host name of the requests, in lower case
 * @param pathPrefix begins and ends with a slash
 * @param kind how often its requests may run
 * @param services where its requests go, by weight
 * @param timeout the longest time after which a caller gets an answer
 * @param latencyGoal the time to an answer, or to a stream's first event, that callers expect
 * @param gapGoal the longest pause between events that callers expect; zero when it has none
 * @param rank 0 for the most urgent
 * @param mostRunners on how many runners one request may run
 * @param isOpen whether requests need no key
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
        int rank,
        int mostRunners,
        boolean isOpen) {

    /** Copies the list. */
    public Route {
        services = List.copyOf(services);
    }

    /**
     * Chooses a service by weight.
     *
     * @param draw a number from 0 to 1, drawn for the request
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
