package org.mangowall.edge.decision;

import java.util.Optional;

import org.mangowall.edge.model.EngineTraits;
import org.mangowall.edge.model.PromptDescription;
import org.mangowall.kernel.failure.FailureCode;

/**
 * Chooses a runner for a request, or turns the request away at once.
 *
 * <p>A request goes where its first token is expected soonest, weighed against reading again what another runner keeps.
 * When no runner is expected to answer within the goal, the request is turned away: first those of workspaces over
 * their share, then those that ask for much reading and little answer. Replays of the loads are in
 * {@code PlacementLoadTest}.
 */
public final class Placement {

    /** What a token costs that is read although another runner keeps it. */
    private static final double READ_AGAIN_MILLIS_PER_TOKEN = 0.1;
    /** How much less that counts when no runner is expected to answer in time otherwise. */
    private static final double URGENT_READ_AGAIN_SHARE = 0.2;
    /** What a token costs that is copied from another runner. */
    private static final double FETCH_MILLIS_PER_TOKEN = 0.006;
    /** Less than this is read faster than it is fetched. */
    private static final int LEAST_FETCH_TOKENS = 64;
    /** What it costs to send bytes to another availability zone and back. */
    private static final double OTHER_ZONE_MILLIS = 6;
    /** What a runner costs whose every answer is in trouble. */
    private static final double TROUBLE_MILLIS = 3_000;
    /** What each running request costs: it slows the tokens of all. */
    private static final double RUNNING_MILLIS = 0.4;
    /** Spreads requests that several hosts place before they hear of each other. */
    private static final double JITTER_MILLIS = 8;
    /** Plain requests above the slots wait at the runner; so many more are let in. */
    private static final double PLAIN_QUEUE_SHARE = 1.5;
    /** The part of an engine's memory that running requests may take. */
    private static final double RUNNING_SHARE_OF_MEMORY = 0.9;

    /** When a service without a usable runner is looked at again: about the time of a restart. */
    private static final double NO_RUNNER_RETRY_MILLIS = 500;

    private final FleetLoad fleet;
    private final Admission admission;

    /**
     * Decides by what is known of the fleet.
     *
     * @param shareWindowNanos the window over which workspaces are compared
     */
    public Placement(FleetLoad fleet, long shareWindowNanos) {
        this.fleet = fleet;
        this.admission = new Admission(fleet, shareWindowNanos);
    }

    /** Decides on a request. */
    public PlacementDecision decide(PlacementRequest request, long now) {
        ServiceState service = fleet.service(request.service());
        KeptPrompt kept =
                request.prompt().map(prompt -> findKept(service, prompt, now)).orElse(KeptPrompt.NOWHERE);
        Candidate best = null;
        Candidate soonest = null;
        for (RunnerState runner : service.runners()) {
            if (!mayTake(service, runner, request, now)) {
                continue;
            }
            Candidate candidate = evaluate(service, runner, kept, request, now);
            best = best == null || candidate.score() < best.score() ? candidate : best;
            soonest = soonest == null || candidate.urgentScore() < soonest.urgentScore() ? candidate : soonest;
        }
        if (best == null) {
            return refuseWithoutRunner(service, now);
        }
        double allowed = admission.allowedMillis(request, best.unreadTokens(), now);
        Candidate chosen = best.predictedMillis() <= allowed ? best : soonest;
        if (chosen.predictedMillis() > allowed && !hasRoom(service, chosen)) {
            return admission.refuse(request, chosen.predictedMillis(), allowed, now);
        }
        return new PlacementDecision.Send(
                chosen.runner().entry(),
                chosen.holder().map(RunnerState::entry),
                chosen.unreadTokens(),
                chosen.waitedTokens(),
                chosen.predictedMillis());
    }

    /** Nothing is turned away while the runner has free places and nothing waits there. */
    private static boolean hasRoom(ServiceState service, Candidate candidate) {
        RunnerState runner = candidate.runner();
        int slots = Math.max(1, runner.entry().slots());
        return runner.running() < slots / 2 && runner.unreadTokens() == 0;
    }

    private static PlacementDecision refuseWithoutRunner(ServiceState service, long now) {
        boolean isEmpty = service.runners().isEmpty();
        return new PlacementDecision.Refuse(
                isEmpty ? FailureCode.NO_RUNNER : FailureCode.RUNNERS_BUSY, NO_RUNNER_RETRY_MILLIS, 0, 0);
    }

    /**
     * Where a prompt is kept.
     *
     * @param holder the runner that has read the most of it
     * @param readTokens how much that is
     * @param keptTokens the most that a runner has read or is reading
     */
    private record KeptPrompt(Optional<RunnerState> holder, int readTokens, int keptTokens) {

        private static final KeptPrompt NOWHERE = new KeptPrompt(Optional.empty(), 0, 0);
    }

    private KeptPrompt findKept(ServiceState service, PromptDescription prompt, long now) {
        RunnerState holder = null;
        int mostRead = 0;
        int mostKept = 0;
        for (RunnerState runner : service.runners()) {
            int kept = runner.cache().keptTokens(prompt.parts());
            if (kept == 0 || !fleet.mayBeCopied(runner, now)) {
                continue;
            }
            mostKept = Math.max(mostKept, kept);
            int read = kept > mostRead ? runner.cache().readTokens(prompt.parts()) : 0;
            if (read > mostRead) {
                mostRead = read;
                holder = runner;
            }
        }
        return new KeptPrompt(Optional.ofNullable(holder), mostRead, mostKept);
    }

    private boolean mayTake(ServiceState service, RunnerState runner, PlacementRequest request, long now) {
        if (request.excluded().contains(runner.entry().identifier()) || !fleet.isOpen(runner.entry())) {
            return false;
        }
        if (runner.health().isPaused(now)) {
            return false;
        }
        if (service.engine().isEmpty()) {
            int places = (int) Math.ceil(Math.max(1, runner.entry().slots()) * (1 + PLAIN_QUEUE_SHARE));
            return runner.running() < places && paceAllows(service, runner, now);
        }
        EngineTraits engine = service.engine().get();
        long needed = request.prompt()
                .map(prompt -> (long) prompt.promptTokens() + prompt.outputTokens())
                .orElse(0L);
        return needed + runner.memoryTokens() <= engine.memoryTokens() * RUNNING_SHARE_OF_MEMORY
                && paceAllows(service, runner, now);
    }

    private boolean paceAllows(ServiceState service, RunnerState runner, long now) {
        return runner.coldPace()
                .allows(runner.entry().identifier(), fleet.self(), fleet.hosts(), service.coldRequestsPerSecond(), now);
    }

    private Candidate evaluate(
            ServiceState service, RunnerState runner, KeptPrompt kept, PlacementRequest request, long now) {
        double trouble = Math.max(
                0, runner.health().troubleShare(now) - service.troubles().share(now));
        double common = TROUBLE_MILLIS * trouble * trouble
                + (runner.entry().zone().equals(request.zone()) ? 0 : OTHER_ZONE_MILLIS)
                + RUNNING_MILLIS * runner.running()
                + JITTER_MILLIS * mix(request.draw(), runner);
        if (request.prompt().isEmpty() || service.engine().isEmpty()) {
            double predicted = slotWaitMillis(service, runner) + service.meanMillis();
            return new Candidate(runner, Optional.empty(), 0, 0, predicted, predicted, predicted + common);
        }
        return evaluateEngine(service, runner, kept, request.prompt().get(), common);
    }

    private static Candidate evaluateEngine(
            ServiceState service, RunnerState runner, KeptPrompt keptPrompt, PromptDescription prompt, double common) {
        int kept = runner.cache().keptTokens(prompt.parts());
        int fetched = keptPrompt.readTokens() - kept;
        boolean isFetching = fetched >= LEAST_FETCH_TOKENS;
        int available = isFetching ? keptPrompt.readTokens() : kept;
        int unread = prompt.promptTokens() - available;
        long waited = runner.unreadTokens() + unread;
        double predicted = service.firstToken().predictMillis(waited) * runner.slowness()
                + slotWaitMillis(service, runner)
                + (isFetching ? FETCH_MILLIS_PER_TOKEN * fetched : 0);
        double readAgain = READ_AGAIN_MILLIS_PER_TOKEN * Math.max(0, keptPrompt.keptTokens() - available);
        double urgent = predicted + URGENT_READ_AGAIN_SHARE * readAgain;
        double score = predicted + readAgain + common;
        return new Candidate(
                runner,
                isFetching ? keptPrompt.holder() : Optional.empty(),
                Math.max(1, unread),
                waited,
                predicted,
                urgent,
                score);
    }

    private static double slotWaitMillis(ServiceState service, RunnerState runner) {
        int slots = Math.max(1, runner.entry().slots());
        int ahead = runner.running() + 1 - slots;
        return ahead <= 0 ? 0 : service.meanMillis() * ahead / slots;
    }

    private static double mix(double draw, RunnerState runner) {
        double mixed = draw + (runner.entry().identifier().hashCode() & 0xFFFF) / 65_536.0;
        return mixed - Math.floor(mixed);
    }
}
