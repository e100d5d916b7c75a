package org.mangowall.edge.decision;

import java.util.Map;
import java.util.Optional;

import org.mangowall.edge.model.StatedLoad;

/** The loads that runners state, and the events that tell them to other hosts. */
public final class StatedLoads {

    private final Map<String, RunnerState> runners;

    /** Creates a view of the loads of these runners, by their identifiers. */
    StatedLoads(Map<String, RunnerState> runners) {
        this.runners = runners;
    }

    /**
     * Records what a runner states in a response to this host.
     *
     * @return the event for the other hosts
     */
    public Optional<LoadEvent> recordResponse(String identifier, StatedLoad stated, long now) {
        RunnerState runner = runners.get(identifier);
        if (runner == null || !stated.isPlausible()) {
            return Optional.empty();
        }
        record(runner, stated, now);
        return Optional.of(new LoadEvent.LoadStated(identifier, stated));
    }

    /** Adopts what a runner stated to another host. */
    void adopt(LoadEvent.LoadStated stated, long now) {
        RunnerState runner = runners.get(stated.runner());
        if (runner != null) {
            record(runner, stated.load(), now);
        }
    }

    private static void record(RunnerState runner, StatedLoad stated, long now) {
        runner.loadEstimate().record(stated, runner.running(), now);
    }
}
