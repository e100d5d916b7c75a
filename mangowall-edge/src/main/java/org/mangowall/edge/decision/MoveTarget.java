package org.mangowall.edge.decision;

import java.util.Comparator;
import java.util.Optional;

import org.mangowall.edge.model.EngineTraits;
import org.mangowall.edge.model.PromptDescription;
import org.mangowall.edge.model.RunnerEntry;

/**
 * Chooses the runner to which a run moves whose prompt was read apart.
 *
 * <p>Load: readers that must be free for the next long prompt, and runners that differ in how many streams they run
 * and how much they still have to read. The copy must be there within the pause that callers bear.
 */
final class MoveTarget {

    /** Time that an engine needs to prepare a copy. */
    private static final double SETUP_MILLIS = 3;
    /** A copy between availability zones takes this many times as long. */
    private static final double CROSS_ZONE_FACTOR = 2;
    /** Part of the pause goal that the copy may take; the rest is for the first event at the next runner. */
    private static final double PAUSE_GOAL_FRACTION = 0.5;
    /** Fraction of an engine's key-value cache that running requests may occupy. */
    private static final double RUNNING_MEMORY_FRACTION = 0.9;

    private final FleetLoad fleet;

    MoveTarget(FleetLoad fleet) {
        this.fleet = fleet;
    }

    /** Returns the best runner for the rest of a run; empty if it should stay where it is. */
    Optional<RunnerEntry> choose(RunnerEntry source, PromptDescription prompt, long now) {
        ServiceState service = fleet.service(source.service());
        Optional<EngineTraits> engine = service.engine();
        if (engine.isEmpty() || !engine.get().movesRuns()) {
            return Optional.empty();
        }
        double allowedMillis = PAUSE_GOAL_FRACTION * service.promptReaders().pauseGoalMillis();
        return service.runners().stream()
                .filter(runner -> isEligible(service, runner, source, now))
                .filter(runner -> hasRoom(runner, engine.get(), prompt))
                .filter(runner -> copyMillis(engine.get(), source, runner, prompt) <= allowedMillis)
                .min(Comparator.comparingDouble(
                        runner -> delayMillis(service, runner) + copyMillis(engine.get(), source, runner, prompt)))
                .map(RunnerState::entry);
    }

    private boolean isEligible(ServiceState service, RunnerState runner, RunnerEntry source, long now) {
        return !runner.entry().identifier().equals(source.identifier())
                && fleet.acceptsRequests(runner.entry())
                && !runner.health().isPaused(now)
                && !runner.coldStartLimiter().isCold(now)
                && runner.rateLimiter().limit().isEmpty()
                && runner.entry().softwareVersion().equals(source.softwareVersion())
                && !service.promptReaders().isReader(runner, service.runners(), now);
    }

    private static boolean hasRoom(RunnerState runner, EngineTraits engine, PromptDescription prompt) {
        long needed = (long) prompt.promptTokens() + prompt.outputTokens();
        return runner.running() < runner.entry().slots()
                && runner.memoryTokens() + needed <= engine.memoryTokens() * RUNNING_MEMORY_FRACTION;
    }

    private static double copyMillis(
            EngineTraits engine, RunnerEntry source, RunnerState runner, PromptDescription prompt) {
        double factor = source.zone().equals(runner.entry().zone()) ? 1 : CROSS_ZONE_FACTOR;
        return SETUP_MILLIS
                + factor * prompt.promptTokens() * engine.bytesPerToken() / engine.linkBytesPerMillisecond();
    }

    /** What a runner reads before the next event; among equal runners, the one with the fewest requests. */
    private static double delayMillis(ServiceState service, RunnerState runner) {
        return service.firstToken().millisPerToken() * runner.pendingPrefillTokens()
                + (double) runner.running() / Math.max(1, runner.entry().slots());
    }
}
