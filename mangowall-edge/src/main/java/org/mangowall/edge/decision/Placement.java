package org.mangowall.edge.decision;

import java.util.List;
import java.util.Optional;

import org.mangowall.edge.model.EngineTraits;
import org.mangowall.edge.model.PromptDescription;
import org.mangowall.edge.model.PromptPart;
import org.mangowall.edge.model.RunnerEntry;
import org.mangowall.kernel.failure.FailureCode;

/**
 * Chooses a runner for a request, or rejects the request at once.
 *
 * <p>A request goes to the runner with the lowest predicted time to first token, plus the cost of processing a prefix
 * again that another runner has cached. When no runner is predicted to respond within the goal, requests are rejected:
 * first those of workspaces over their fair share, then those with long prompts and short outputs. {@code
 * PlacementLoadTest} simulates the loads for which this is designed.
 */
public final class Placement {

    /** Cost of processing a token that another runner has cached. */
    private static final double RECOMPUTE_MILLIS_PER_TOKEN = 0.1;
    /** Fraction of the costs to others that counts when no runner is predicted to respond in time otherwise. */
    private static final double URGENT_COST_FRACTION = 0.2;
    /** Time to fetch the key-value cache of a token from another runner. */
    private static final double FETCH_MILLIS_PER_TOKEN = 0.006;
    /** Shorter prefixes are processed faster than fetched. */
    private static final int MIN_FETCH_TOKENS = 64;
    /** Cost of a round trip to another availability zone. */
    private static final double CROSS_ZONE_PENALTY_MILLIS = 6;
    /** Cost of a runner whose requests all fail. */
    private static final double FAILURE_PENALTY_MILLIS = 3_000;
    /** Cost of each running request: it slows token generation for the whole batch. */
    private static final double RUNNING_PENALTY_MILLIS = 0.4;
    /** Upper bound of the random cost that spreads requests placed by several hosts before they exchange events. */
    private static final double MAX_JITTER_MILLIS = 8;
    /** The same for runners that state their load; still short for a caller of a plain service. */
    private static final double MAX_STATED_JITTER_MILLIS = 16;
    /** Plain requests that may queue at a runner, as a multiple of its slots. */
    private static final double PLAIN_QUEUE_RATIO = 1.5;
    /** Fraction of an engine's key-value cache that running requests may occupy. */
    private static final double RUNNING_MEMORY_FRACTION = 0.9;

    /** Retry time for a service without an eligible runner: about the time of a runner restart. */
    private static final double NO_RUNNER_RETRY_MILLIS = 500;

    /** Derives a second random number from the draw of a request, whose leading digits choose the runner. */
    private static final double INDEPENDENT_DRAW_FACTOR = 65_537;

    private static final double NANOS_PER_MILLI = 1e6;

    private final FleetLoad fleet;
    private final AdmissionControl admissionControl;
    private final MoveTarget moveTarget;

    /**
     * Creates a placement over the state of the fleet.
     *
     * @param shareWindowNanos the sliding window over which the usage of workspaces is compared
     */
    public Placement(FleetLoad fleet, long shareWindowNanos) {
        this.fleet = fleet;
        this.admissionControl = new AdmissionControl(fleet, shareWindowNanos);
        this.moveTarget = new MoveTarget(fleet);
    }

    /** Chooses a runner for a request or rejects it. */
    public PlacementDecision decide(PlacementRequest request, long now) {
        List<PromptPart> parts = request.prompt().map(PromptDescription::parts).orElse(List.of());
        Optional<LoadEvent.Quarantined> quarantined = fleet.quarantine().find(parts, request.fingerprint(), now);
        if (quarantined.isPresent()) {
            double remainingMillis = quarantined.get().remainingNanos() / NANOS_PER_MILLI;
            return new PlacementDecision.Reject(
                    quarantined.get().suspect().rejection(), remainingMillis, 0, Admission.NONE);
        }
        ServiceState service = fleet.service(request.service());
        CachedPrompt cached =
                request.prompt().map(prompt -> findCached(service, prompt, now)).orElse(CachedPrompt.NOT_CACHED);
        Candidate best = null;
        Candidate bestWhenUrgent = null;
        for (RunnerState runner : service.runners()) {
            if (!isEligible(service, runner, request, now)) {
                continue;
            }
            Candidate candidate = evaluate(service, runner, cached, request, now);
            best = best == null || candidate.score() < best.score() ? candidate : best;
            bestWhenUrgent = bestWhenUrgent == null || candidate.urgentScore() < bestWhenUrgent.urgentScore()
                    ? candidate
                    : bestWhenUrgent;
        }
        if (best == null) {
            return rejectWithoutRunner(service, request, now);
        }
        Admission admission = admissionControl.admissionOf(request, best.prefillTokens(), now);
        double allowed = admission.allowedMillis();
        Candidate chosen = best.predictedMillis() <= allowed ? best : bestWhenUrgent;
        if (isThrottled(request, admission)) {
            return admissionControl.reject(chosen.predictedMillis(), admission);
        }
        if (chosen.predictedMillis() > allowed && !request.isContinuation() && !hasSpareCapacity(service, chosen)) {
            return admissionControl.reject(chosen.predictedMillis(), admission);
        }
        return new PlacementDecision.Send(
                chosen.runner().entry(),
                chosen.cacheHolder().map(RunnerState::entry),
                chosen.prefillTokens(),
                chosen.waitedTokens(),
                chosen.predictedMillis(),
                isReadApart(service, chosen, now),
                chosen.runner().loadEstimate().pace(now),
                admission);
    }

    /** Whether a request is rejected in favour of a worse served workspace, even if a runner is free. */
    private static boolean isThrottled(PlacementRequest request, Admission admission) {
        if (request.prompt().isEmpty() || request.isContinuation()) {
            return false;
        }
        double scaled = request.draw() * INDEPENDENT_DRAW_FACTOR;
        return scaled - Math.floor(scaled) >= admission.usage().admittedFraction();
    }

    /** Chooses the runner for the rest of a run whose prompt was read apart; empty if it should stay where it is. */
    public Optional<RunnerEntry> moveTarget(RunnerEntry source, PromptDescription prompt, long now) {
        return moveTarget.choose(source, prompt, now);
    }

    private static boolean isReadApart(ServiceState service, Candidate chosen, long now) {
        return service.promptReaders()
                        .isLong(chosen.prefillTokens(), service.firstToken().millisPerToken())
                && service.promptReaders().isReader(chosen.runner(), service.runners(), now);
    }

    /** Whether less than half of the slots are in use and no prompt is pending; such a runner takes every request. */
    private static boolean hasSpareCapacity(ServiceState service, Candidate candidate) {
        RunnerState runner = candidate.runner();
        int slots = Math.max(1, runner.entry().slots());
        return runner.running() < slots / 2 && runner.pendingPrefillTokens() == 0;
    }

    private PlacementDecision rejectWithoutRunner(ServiceState service, PlacementRequest request, long now) {
        double pauseMillis = service.runners().stream()
                        .filter(runner -> fleet.acceptsRequests(runner.entry()))
                        .mapToLong(runner -> runner.health().pauseNanos(now))
                        .min()
                        .orElse(0)
                / NANOS_PER_MILLI;
        return new PlacementDecision.Reject(
                codeWithoutRunner(service, request), Math.max(NO_RUNNER_RETRY_MILLIS, pauseMillis), 0, Admission.NONE);
    }

    private FailureCode codeWithoutRunner(ServiceState service, PlacementRequest request) {
        if (service.runners().isEmpty()) {
            return FailureCode.NO_RUNNER;
        }
        boolean isVersionServing = service.runners().stream()
                .anyMatch(runner -> hasRequiredVersion(runner, request) && fleet.acceptsRequests(runner.entry()));
        return request.softwareVersion().isPresent() && !isVersionServing
                ? FailureCode.STREAM_VERSION_UNAVAILABLE
                : FailureCode.RUNNERS_BUSY;
    }

    private static boolean hasRequiredVersion(RunnerState runner, PlacementRequest request) {
        return request.softwareVersion().isEmpty()
                || request.softwareVersion().get().equals(runner.entry().softwareVersion());
    }

    /**
     * Which runner has cached most of a prompt.
     *
     * @param holder the runner with the longest fetchable prefix
     * @param fetchableTokens length of that prefix
     * @param cachedTokens length of the longest prefix that a runner has cached or is processing
     */
    private record CachedPrompt(Optional<RunnerState> holder, int fetchableTokens, int cachedTokens) {

        private static final CachedPrompt NOT_CACHED = new CachedPrompt(Optional.empty(), 0, 0);
    }

    private CachedPrompt findCached(ServiceState service, PromptDescription prompt, long now) {
        RunnerState holder = null;
        int maxFetchable = 0;
        int maxCached = 0;
        for (RunnerState runner : service.runners()) {
            int cached = runner.cache().cachedTokens(prompt.parts());
            if (cached == 0 || !fleet.canServeCache(runner, now)) {
                continue;
            }
            maxCached = Math.max(maxCached, cached);
            int fetchable = cached > maxFetchable ? runner.cache().fetchableTokens(prompt.parts()) : 0;
            if (fetchable > maxFetchable) {
                maxFetchable = fetchable;
                holder = runner;
            }
        }
        return new CachedPrompt(Optional.ofNullable(holder), maxFetchable, maxCached);
    }

    private boolean isEligible(ServiceState service, RunnerState runner, PlacementRequest request, long now) {
        if (request.excluded().contains(runner.entry().identifier()) || !fleet.acceptsRequests(runner.entry())) {
            return false;
        }
        if (runner.health().isPaused(now) || !hasRequiredVersion(runner, request) || !rateLimitAllows(runner, now)) {
            return false;
        }
        if (service.engine().isEmpty()) {
            int maxRequests = (int) Math.ceil(Math.max(1, runner.entry().slots()) * (1 + PLAIN_QUEUE_RATIO));
            return runner.loadEstimate().requests(runner.running(), now) < maxRequests
                    && coldStartAllows(service, runner, now);
        }
        EngineTraits engine = service.engine().get();
        long needed = request.prompt()
                .map(prompt -> (long) prompt.promptTokens() + prompt.outputTokens())
                .orElse(0L);
        return needed + runner.memoryTokens() <= engine.memoryTokens() * RUNNING_MEMORY_FRACTION
                && coldStartAllows(service, runner, now);
    }

    private boolean rateLimitAllows(RunnerState runner, long now) {
        return runner.rateLimiter().allows(runner.entry().identifier(), fleet.self(), fleet.hosts(), now);
    }

    private boolean coldStartAllows(ServiceState service, RunnerState runner, long now) {
        return runner.coldStartLimiter()
                .allows(runner.entry().identifier(), fleet.self(), fleet.hosts(), service.coldRequestsPerSecond(), now);
    }

    private Candidate evaluate(
            ServiceState service, RunnerState runner, CachedPrompt cached, PlacementRequest request, long now) {
        double excessFailureRatio = Math.max(
                0, runner.health().failureRatio(now) - service.failures().failureRatio(now));
        double penalty = FAILURE_PENALTY_MILLIS * excessFailureRatio * excessFailureRatio
                + (runner.entry().zone().equals(request.zone()) ? 0 : CROSS_ZONE_PENALTY_MILLIS)
                + RUNNING_PENALTY_MILLIS * runner.running()
                + jitterMillis(service, runner, request.draw(), now);
        if (request.prompt().isEmpty() || service.engine().isEmpty()) {
            double predicted = (slotWaitMillis(service, runner, now) + service.meanMillis())
                    * runner.loadEstimate().pace(now);
            return new Candidate(runner, Optional.empty(), 0, 0, predicted, predicted, predicted + penalty);
        }
        return evaluateEngine(service, runner, cached, request.prompt().get(), penalty, now);
    }

    private static Candidate evaluateEngine(
            ServiceState service,
            RunnerState runner,
            CachedPrompt cachedPrompt,
            PromptDescription prompt,
            double penalty,
            long now) {
        int cached = runner.cache().cachedTokens(prompt.parts());
        int fetched = cachedPrompt.fetchableTokens() - cached;
        boolean isFetching = fetched >= MIN_FETCH_TOKENS;
        int available = isFetching ? cachedPrompt.fetchableTokens() : cached;
        int remaining = prompt.promptTokens() - available;
        long waited = runner.pendingPrefillTokens() + remaining;
        double predicted = service.firstToken().predictMillis(waited) * runner.slowness()
                + slotWaitMillis(service, runner, now)
                + (isFetching ? FETCH_MILLIS_PER_TOKEN * fetched : 0);
        double recomputeMillis = RECOMPUTE_MILLIS_PER_TOKEN * Math.max(0, cachedPrompt.cachedTokens() - available);
        double apart = apartMillis(service, runner, remaining, now);
        double urgent = predicted + URGENT_COST_FRACTION * (recomputeMillis + apart);
        double score = predicted + recomputeMillis + penalty + apart;
        return new Candidate(
                runner,
                isFetching ? cachedPrompt.holder() : Optional.empty(),
                Math.max(1, remaining),
                waited,
                predicted,
                urgent,
                score);
    }

    /** The cost of reading a long prompt among streams, or of running a stream where long prompts are read. */
    private static double apartMillis(ServiceState service, RunnerState runner, int unreadTokens, long now) {
        PromptReaders readers = service.promptReaders();
        boolean isLong = readers.isLong(unreadTokens, service.firstToken().millisPerToken());
        return isLong == readers.isReader(runner, service.runners(), now) ? 0 : readers.pauseGoalMillis();
    }

    private static double slotWaitMillis(ServiceState service, RunnerState runner, long now) {
        int slots = Math.max(1, runner.entry().slots());
        double ahead = runner.loadEstimate().requests(runner.running(), now) + 1 - slots;
        return ahead <= 0 ? 0 : service.meanMillis() * ahead / slots;
    }

    /**
     * A random cost that spreads requests placed by several hosts. Hosts that read the same statement choose
     * alike, so it is larger for its runner, and independent of those of the others: shifts of one draw could leave
     * most requests to one of a few runners.
     */
    private static double jitterMillis(ServiceState service, RunnerState runner, double draw, long now) {
        String identifier = runner.entry().identifier();
        if (service.engine().isEmpty() && runner.loadEstimate().ageNanos(now) >= 0) {
            long mixed = Rendezvous.weight(identifier, Double.toString(draw));
            return MAX_STATED_JITTER_MILLIS * (mixed & 0xFFFF) / 65_536.0;
        }
        double shifted = draw + (identifier.hashCode() & 0xFFFF) / 65_536.0;
        return MAX_JITTER_MILLIS * (shifted - Math.floor(shifted));
    }
}
