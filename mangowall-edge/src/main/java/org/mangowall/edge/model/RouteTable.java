package org.mangowall.edge.model;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** A version of the routing configuration, indexed for look-up. */
public final class RouteTable {

    private final long version;
    private final Map<String, Map<String, Route>> routesByHost;
    private final Map<String, ServiceDescription> services;
    private final Duration medianLatencyGoal;
    private final boolean needsKeys;
    private final Map<String, String> workspaceByKey;
    private final CallerLimits limits;
    private final double tokensPerSecond;

    /**
     * Builds the index of a configuration.
     *
     * @param version version number, which grows with each configuration
     * @param needsKeys whether requests on routes that are not open need an API key
     * @param workspaceByKey the workspace of each API key
     * @param tokensPerSecond the throughput of all engines, a generated token counted twice; 0 when unknown
     */
    public RouteTable(
            long version,
            List<Route> routes,
            List<ServiceDescription> services,
            boolean needsKeys,
            Map<String, String> workspaceByKey,
            CallerLimits limits,
            double tokensPerSecond) {
        this.version = version;
        this.routesByHost = new HashMap<>();
        for (Route route : routes) {
            routesByHost
                    .computeIfAbsent(route.hostName(), name -> new HashMap<>())
                    .put(route.pathPrefix(), route);
        }
        List<Duration> goals = routes.stream().map(Route::latencyGoal).sorted().toList();
        this.medianLatencyGoal = goals.isEmpty() ? Duration.ZERO : goals.get(goals.size() / 2);
        this.services = new HashMap<>();
        services.forEach(service -> this.services.put(service.name(), service));
        this.needsKeys = needsKeys;
        this.workspaceByKey = Map.copyOf(workspaceByKey);
        this.limits = limits;
        this.tokensPerSecond = tokensPerSecond;
    }

    /** Finds the route with the longest matching path prefix. */
    public Optional<Route> find(String hostName, String path) {
        Map<String, Route> routes = routesByHost.get(hostName);
        if (routes == null) {
            return Optional.empty();
        }
        int end = path.lastIndexOf('/');
        while (end >= 0) {
            Route route = routes.get(path.substring(0, end + 1));
            if (route != null) {
                return Optional.of(route);
            }
            end = end == 0 ? -1 : path.lastIndexOf('/', end - 1);
        }
        return Optional.empty();
    }

    public long version() {
        return version;
    }

    public Optional<ServiceDescription> service(String name) {
        return Optional.ofNullable(services.get(name));
    }

    public Optional<String> workspaceOf(String key) {
        return Optional.ofNullable(workspaceByKey.get(key));
    }

    /** The median of the routes' latency goals; zero if there is no route. */
    public Duration medianLatencyGoal() {
        return medianLatencyGoal;
    }

    /** The shortest pause goal of the streaming routes to a service; empty if none has one. */
    public Optional<Duration> shortestGapGoal(String service) {
        return routesByHost.values().stream()
                .flatMap(routes -> routes.values().stream())
                .filter(route -> route.kind().isStream() && route.leadsTo(service))
                .map(Route::gapGoal)
                .filter(Duration::isPositive)
                .min(Duration::compareTo);
    }

    /** Whether requests on routes that are not open need an API key. */
    public boolean needsKeys() {
        return needsKeys;
    }

    public CallerLimits limits() {
        return limits;
    }

    public double tokensPerSecond() {
        return tokensPerSecond;
    }
}
