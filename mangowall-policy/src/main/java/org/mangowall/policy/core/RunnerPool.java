package org.mangowall.policy.core;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import org.mangowall.inventory.Inventory;
import org.mangowall.inventory.Runner;
import org.mangowall.inventory.Service;
import org.mangowall.kernel.name.RunnerName;
import org.mangowall.kernel.name.ServiceName;
import org.mangowall.policy.RoutingReason;
import org.mangowall.policy.limit.RunnerLimit;

/** The runners of one service whose home is this router, and former ones that still run its requests. */
final class RunnerPool {

    private static final int MAX_PREFIXES = 4096;

    private final CoreContext context;
    private final ServiceName service;
    private final Map<RunnerName, PooledRunner> runners = new TreeMap<>();
    private final Map<Long, RunnerName> runnersByPrefix = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, RunnerName> eldest) {
            return size() > MAX_PREFIXES;
        }
    };

    private int rotationPosition;

    RunnerPool(CoreContext context, ServiceName service) {
        this.context = context;
        this.service = service;
    }

    /** A runner with its concurrency limit. */
    static final class PooledRunner {

        private final RunnerLimit limit;
        private Runner runner;
        private boolean assigned;
        private boolean open;

        private PooledRunner(Runner runner, RunnerLimit limit) {
            this.runner = runner;
            this.limit = limit;
        }

        Runner runner() {
            return runner;
        }

        RunnerLimit limit() {
            return limit;
        }

        boolean isAssigned() {
            return assigned;
        }

        boolean acceptsRequests() {
            return assigned && open;
        }
    }

    /** A runner and the reason for its choice. */
    record Choice(PooledRunner runner, RoutingReason reason) {}

    /** Applies a change of the inventory or of the home assignment. */
    void update(long now) {
        Inventory inventory = context.inventory();
        for (PooledRunner known : runners.values()) {
            boolean isRemoved = inventory.runner(known.runner.name()).isEmpty();
            boolean isElsewhere = !context.assignment()
                    .homeOf(known.runner.name())
                    .map(context.self()::equals)
                    .orElse(false);
            known.assigned = known.assigned && !isRemoved && !isElsewhere;
        }
        for (Runner runner : inventory.runnersOf(service)) {
            if (context.assignment().homeOf(runner.name()).orElseThrow().equals(context.self())) {
                updateAssigned(runner, now);
            }
        }
        runners.values().removeIf(known -> !known.assigned && known.limit.running() == 0);
    }

    private void updateAssigned(Runner runner, long now) {
        int startLimit =
                context.inventory().service(service).map(Service::startLimit).orElse(1);
        PooledRunner known = runners.get(runner.name());
        if (known == null) {
            boolean isFixed = !context.traits().adaptiveLimits();
            known = new PooledRunner(runner, new RunnerLimit(startLimit, runner.slots(), isFixed, now));
            known.assigned = true;
            known.open = context.inventory().isOpen(runner);
            runners.put(runner.name(), known);
            return;
        }
        boolean isOpenNow = context.inventory().isOpen(runner);
        known.runner = runner;
        known.limit.configure(startLimit, runner.slots());
        if (!known.assigned) {
            known.limit.resumeAsHome(now);
        } else if (isOpenNow && !known.open) {
            known.limit.restartSlowStart(now);
        }
        known.assigned = true;
        known.open = isOpenNow;
    }

    Collection<PooledRunner> runners() {
        return runners.values();
    }

    PooledRunner find(RunnerName name) {
        return runners.get(name);
    }

    boolean hasOpenRunner() {
        return runners.values().stream().anyMatch(PooledRunner::acceptsRequests);
    }

    int freeSlots(long now) {
        int total = 0;
        for (PooledRunner runner : runners.values()) {
            total += freeSlots(runner, now);
        }
        return total;
    }

    /** The total of the concurrency limits of all open runners. */
    int totalLimit() {
        int total = 0;
        for (PooledRunner runner : runners.values()) {
            total += runner.acceptsRequests() ? runner.limit.limit() : 0;
        }
        return total;
    }

    private int freeSlots(PooledRunner runner, long now) {
        if (!runner.acceptsRequests()) {
            return 0;
        }
        return runner.limit.freeSlots(now, context.isZoneUncertain(runner.runner.zone()));
    }

    /** Chooses a runner for a request; returns null if no runner has a free slot. */
    Choice choose(HomeRequest request, long now) {
        List<PooledRunner> free = freeRunners(Set.of(), now);
        if (free.size() > 1 && !request.triedRunners().isEmpty()) {
            List<PooledRunner> untried = freeRunners(request.triedRunners(), now);
            free = untried.isEmpty() ? free : untried;
        }
        if (free.isEmpty()) {
            return null;
        }
        return switch (context.traits().runnerChoice()) {
            case ROUND_ROBIN -> roundRobin(free);
            case LEAST_LOADED -> new Choice(leastLoaded(free), RoutingReason.LEAST_LOADED);
            case AFFINITY_THEN_LOAD -> byAffinity(request.description().prefixHash(), free);
        };
    }

    private List<PooledRunner> freeRunners(Set<RunnerName> avoided, long now) {
        List<PooledRunner> free = new ArrayList<>();
        for (PooledRunner runner : runners.values()) {
            if (!avoided.contains(runner.runner.name()) && freeSlots(runner, now) > 0) {
                free.add(runner);
            }
        }
        return free;
    }

    private Choice roundRobin(List<PooledRunner> free) {
        PooledRunner next = free.get(Math.floorMod(rotationPosition, free.size()));
        rotationPosition++;
        return new Choice(next, RoutingReason.ROUND_ROBIN);
    }

    private Choice byAffinity(long prefixHash, List<PooledRunner> free) {
        if (prefixHash == 0) {
            return new Choice(leastLoaded(free), RoutingReason.LEAST_LOADED);
        }
        RunnerName prefixRunner = runnersByPrefix.get(prefixHash);
        for (PooledRunner runner : free) {
            if (runner.runner.name().equals(prefixRunner)) {
                return new Choice(runner, RoutingReason.PREFIX_AFFINITY);
            }
        }
        PooledRunner chosen = leastLoaded(free);
        runnersByPrefix.put(prefixHash, chosen.runner.name());
        return new Choice(chosen, RoutingReason.LEAST_LOADED);
    }

    private static PooledRunner leastLoaded(List<PooledRunner> free) {
        return free.stream().min(Comparator.comparingDouble(RunnerPool::load)).orElseThrow();
    }

    private static double load(PooledRunner runner) {
        return (double) runner.limit.running() / runner.limit.limit();
    }
}
