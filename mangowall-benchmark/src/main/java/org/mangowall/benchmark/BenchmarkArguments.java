package org.mangowall.benchmark;

import java.util.List;

import com.beust.jcommander.Parameter;

/** Command-line options of the policy benchmark. */
final class BenchmarkArguments {

    @Parameter(
            names = "--policy",
            description = "Policies to run: fair, local-fair, round-robin, least-outstanding, ideal")
    private List<String> policies = List.of("ideal", "fair", "local-fair", "least-outstanding", "round-robin");

    @Parameter(names = "--load", description = "Kind of calls: model or plain")
    private String load = "model";

    @Parameter(names = "--zones", description = "Availability zones")
    private int zones = 3;

    @Parameter(names = "--routers", description = "Routers")
    private int routers = 9;

    @Parameter(names = "--services", description = "Services")
    private int services = 1;

    @Parameter(names = "--runners", description = "Runners of each service")
    private int runners = 12;

    @Parameter(names = "--slots", description = "Slots of each runner")
    private int slots = 16;

    @Parameter(names = "--workspaces", description = "Workspaces, with weights 1 to 4 in turn")
    private int workspaces = 16;

    @Parameter(names = "--callers", description = "Callers of each workspace and service")
    private int callers = 40;

    @Parameter(names = "--spread", description = "Standard deviation of the logarithm of costs")
    private double spread = 1;

    @Parameter(names = "--period", description = "Milliseconds between two exchanges")
    private long periodMilliseconds = 1000;

    @Parameter(names = "--warm-up", description = "Seconds before the measurement")
    private int warmUpSeconds = 60;

    @Parameter(names = "--seconds", description = "Seconds of the measurement, in simulated time")
    private int seconds = 120;

    @Parameter(names = "--restarts", description = "Silent cold restarts of runners during the measurement")
    private int restarts = 0;

    @Parameter(names = "--zone-out", description = "Seconds for which the first zone is closed during the measurement")
    private int zoneOutSeconds = 0;

    @Parameter(names = "--seed", description = "Seeds, one run for each")
    private List<Long> seeds = List.of(1L);

    @Parameter(names = "--json", description = "Print JSON lines instead of a table")
    private boolean json;

    @Parameter(names = "--help", help = true, description = "Print this help")
    private boolean help;

    List<String> policies() {
        return policies;
    }

    boolean isModelLoad() {
        return "model".equals(load);
    }

    int zones() {
        return zones;
    }

    int routers() {
        return routers;
    }

    int services() {
        return services;
    }

    int runners() {
        return runners;
    }

    int slots() {
        return slots;
    }

    int workspaces() {
        return workspaces;
    }

    int callers() {
        return callers;
    }

    double spread() {
        return spread;
    }

    long periodMilliseconds() {
        return periodMilliseconds;
    }

    int warmUpSeconds() {
        return warmUpSeconds;
    }

    int seconds() {
        return seconds;
    }

    int restarts() {
        return restarts;
    }

    int zoneOutSeconds() {
        return zoneOutSeconds;
    }

    List<Long> seeds() {
        return seeds;
    }

    boolean isJson() {
        return json;
    }

    boolean isHelp() {
        return help;
    }
}
