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

/** The runners of one service of which this router is home, or was and still has requests there. */
final class RunnerPool {

    private static final int PREFIXES_KEPT = 4096;

    private final CoreContext context;
    private final ServiceName service;
    private final Map<RunnerName, HomedRunner> runners = new TreeMap<>();
    private final Map<Long, RunnerName> prefixes = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, RunnerName> eldest) {
            return size() > PREFIXES_KEPT;
        }
    };

    private int turn;

    RunnerPool(CoreContext context, ServiceName service) {
        this.context = context;
        this.service = service;
    }

    /** A runner with its limit. */
    static final class HomedRunner {

        private final RunnerLimit limit;
        private Runner runner;
        private boolean homed;
        private boolean open;

        private HomedRunner(Runner runner, RunnerLimit limit) {
            this.runner = runner;
            this.limit = limit;
        }

        Runner runner() {
            return runner;
        }

        RunnerLimit limit() {
            return limit;
        }

        boolean isHomed() {
            return homed;
        }

        boolean mayGetWork() {
            return homed && open;
        }
    }

    /** A runner and why it was chosen. */
    record Choice(HomedRunner runner, RoutingReason reason) {}

    /** Takes over a change of the inventory or of the homes. */
    void update(long now) {
        Inventory inventory = context.inventory();
        for (HomedRunner known : runners.values()) {
            boolean gone = inventory.runner(known.runner.name()).isEmpty();
            boolean elsewhere = !context.assignment()
                    .homeOf(known.runner.name())
                    .map(context.self()::equals)
                    .orElse(false);
            known.homed = known.homed && !gone && !elsewhere;
        }
        for (Runner runner : inventory.runnersOf(service)) {
            if (context.assignment().homeOf(runner.name()).orElseThrow().equals(context.self())) {
                updateHomed(runner, now);
            }
        }
        runners.values().removeIf(known -> !known.homed && known.limit.running() == 0);
    }

    private void updateHomed(Runner runner, long now) {
        int startLimit =
                context.inventory().service(service).map(Service::startLimit).orElse(1);
        HomedRunner known = runners.get(runner.name());
        if (known == null) {
            boolean fixed = !context.traits().adaptiveLimits();
            known = new HomedRunner(runner, new RunnerLimit(startLimit, runner.slots(), fixed, now));
            known.homed = true;
            known.open = context.inventory().isOpen(runner);
            runners.put(runner.name(), known);
            return;
        }
        boolean nowOpen = context.inventory().isOpen(runner);
        known.runner = runner;
        known.limit.configure(startLimit, runner.slots());
        if (!known.homed) {
            known.limit.acquire(now);
        } else if (nowOpen && !known.open) {
            known.limit.restartSlowly(now);
        }
        known.homed = true;
        known.open = nowOpen;
    }

    Collection<HomedRunner> runners() {
        return runners.values();
    }

    HomedRunner find(RunnerName name) {
        return runners.get(name);
    }

    boolean hasOpenRunner() {
        return runners.values().stream().anyMatch(HomedRunner::mayGetWork);
    }

    int free(long now) {
        int sum = 0;
        for (HomedRunner runner : runners.values()) {
            sum += free(runner, now);
        }
        return sum;
    }

    /** The requests that all open runners may have at once now. */
    int limits() {
        int sum = 0;
        for (HomedRunner runner : runners.values()) {
            sum += runner.mayGetWork() ? runner.limit.limit() : 0;
        }
        return sum;
    }

    private int free(HomedRunner runner, long now) {
        if (!runner.mayGetWork()) {
            return 0;
        }
        return runner.limit.free(now, context.isZoneUncertain(runner.runner.zone()));
    }

    /** The runner for a request; null when none is free. */
    Choice choose(HomeRequest request, long now) {
        List<HomedRunner> free = freeRunners(Set.of(), now);
        if (free.size() > 1 && !request.tried().isEmpty()) {
            List<HomedRunner> untried = freeRunners(request.tried(), now);
            free = untried.isEmpty() ? free : untried;
        }
        if (free.isEmpty()) {
            return null;
        }
        return switch (context.traits().runnerChoice()) {
            case ROUND_ROBIN -> inTurn(free);
            case LEAST_LOADED -> new Choice(leastLoaded(free), RoutingReason.LEAST_LOADED);
            case AFFINITY_THEN_LOAD -> byAffinity(request.description().prefixHash(), free);
        };
    }

    private List<HomedRunner> freeRunners(Set<RunnerName> avoided, long now) {
        List<HomedRunner> free = new ArrayList<>();
        for (HomedRunner runner : runners.values()) {
            if (!avoided.contains(runner.runner.name()) && free(runner, now) > 0) {
                free.add(runner);
            }
        }
        return free;
    }

    private Choice inTurn(List<HomedRunner> free) {
        HomedRunner next = free.get(Math.floorMod(turn, free.size()));
        turn++;
        return new Choice(next, RoutingReason.ROUND_ROBIN);
    }

    private Choice byAffinity(long prefixHash, List<HomedRunner> free) {
        if (prefixHash == 0) {
            return new Choice(leastLoaded(free), RoutingReason.LEAST_LOADED);
        }
        RunnerName keeper = prefixes.get(prefixHash);
        for (HomedRunner runner : free) {
            if (runner.runner.name().equals(keeper)) {
                return new Choice(runner, RoutingReason.PREFIX_AFFINITY);
            }
        }
        HomedRunner chosen = leastLoaded(free);
        prefixes.put(prefixHash, chosen.runner.name());
        return new Choice(chosen, RoutingReason.LEAST_LOADED);
    }

    private static HomedRunner leastLoaded(List<HomedRunner> free) {
        return free.stream().min(Comparator.comparingDouble(RunnerPool::load)).orElseThrow();
    }

    private static double load(HomedRunner runner) {
        return (double) runner.limit.running() / runner.limit.limit();
    }
}
