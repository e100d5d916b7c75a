package org.mangowall.standin.caller;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.mangowall.inventory.Runner;

/** Selects runners in round-robin order for calls that bypass the routers. */
final class DirectRunnerSelector {

    private final List<Runner> runners;
    private final Map<String, Integer> nextIndexByService = new HashMap<>();

    DirectRunnerSelector(List<Runner> runners) {
        this.runners = List.copyOf(runners);
    }

    String next(String service) {
        List<Runner> candidates = runners.stream()
                .filter(runner -> runner.service().value().equals(service))
                .toList();
        int index = nextIndexByService.merge(service, 1, Integer::sum);
        Runner runner = candidates.get(Math.floorMod(index, candidates.size()));
        return "http://" + runner.host() + ":" + runner.port();
    }
}
