package org.mangowall.standin.caller;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

import org.asynchttpclient.AsyncHttpClient;
import org.mangowall.kernel.duty.DutyHandler;

/** Starts calls according to the plans, retries calls with an idempotency key and records the results. */
final class LoadHandler implements DutyHandler<LoadEvent> {

    private static final long GAP_SAMPLE_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    private final AsyncHttpClient client;
    private final EntryHostSelector entryHosts;
    private final DirectRunnerSelector directRunners;
    private final RandomGenerator random;
    private final List<PlanState> plans;
    private final ServiceGapMeter gapMeter;
    private final LoadSink sink;
    private final Map<String, AttemptStatistics> statisticsByRoute = new HashMap<>();
    private final CallOutcomes outcomes = new CallOutcomes();
    private final CompletableFuture<Void> drained = new CompletableFuture<>();
    private Phase phase = Phase.WARMING_UP;
    private long nextGapSampleNanos;

    LoadHandler(
            AsyncHttpClient client,
            EntryHostSelector entryHosts,
            DirectRunnerSelector directRunners,
            RandomGenerator random,
            List<PlanState> plans,
            ServiceGapMeter gapMeter,
            LoadSink sink) {
        this.client = client;
        this.entryHosts = entryHosts;
        this.directRunners = directRunners;
        this.random = random;
        this.plans = List.copyOf(plans);
        this.gapMeter = gapMeter;
        this.sink = sink;
    }

    @Override
    public void handle(LoadEvent event) {
        switch (event) {
            case LoadEvent.AttemptEnded ended -> handleResult(ended.result());
            case LoadEvent.MeasurementStarted started -> phase = Phase.MEASURING;
            case LoadEvent.LoadStopped stopped -> phase = Phase.STOPPING;
        }
    }

    @Override
    public void tick() {
        long nowNanos = System.nanoTime();
        entryHosts.refresh(nowNanos);
        if (phase == Phase.STOPPING) {
            completeWhenDrained();
            return;
        }
        if (phase == Phase.MEASURING && nowNanos - nextGapSampleNanos >= 0) {
            gapMeter.sample();
            nextGapSampleNanos = nowNanos + GAP_SAMPLE_NANOS;
        }
        for (PlanState plan : plans) {
            startDueCalls(plan, nowNanos);
        }
    }

    private void startDueCalls(PlanState state, long nowNanos) {
        int due = state.dueStarts(nowNanos);
        for (int index = 0; index < due; index++) {
            state.callStarted();
            sendAttempt(state, new Call(state.plan(), state.nextNonce(), random), false);
        }
    }

    private void sendAttempt(PlanState state, Call call, boolean reselectsEntryHost) {
        String address = addressFor(call.plan(), reselectsEntryHost);
        ResponseCollector collector = new ResponseCollector(
                call, address, state.streamedTokens(), result -> sink.offer(new LoadEvent.AttemptEnded(result)));
        client.executeRequest(call.nextAttempt(address), collector);
    }

    private String addressFor(LoadPlan plan, boolean reselectsEntryHost) {
        if (plan.direct()) {
            return directRunners.next(plan.service());
        }
        return reselectsEntryHost ? entryHosts.reselect(plan.workspace()) : entryHosts.forWorkspace(plan.workspace());
    }

    private void handleResult(AttemptResult result) {
        PlanState state = stateOf(result.call().plan());
        outcomes.add(result);
        if (phase == Phase.MEASURING) {
            state.statistics().add(result);
            statisticsByRoute
                    .computeIfAbsent(result.address() + " " + result.runner(), route -> new AttemptStatistics())
                    .add(result);
        }
        if (shouldRetry(result)) {
            sendAttempt(state, result.call(), true);
            return;
        }
        if (result.verdict() != Verdict.ANSWERED && !result.call().plan().direct()) {
            entryHosts.reselect(result.call().plan().workspace());
        }
        state.callEnded(result.verdict(), System.nanoTime());
    }

    private boolean shouldRetry(AttemptResult result) {
        LoadPlan plan = result.call().plan();
        return plan.keyed()
                && result.verdict() != Verdict.ANSWERED
                && result.call().attempts() < plan.maximumAttempts()
                && phase != Phase.STOPPING;
    }

    private PlanState stateOf(LoadPlan plan) {
        for (PlanState state : plans) {
            if (state.plan() == plan) {
                return state;
            }
        }
        throw new IllegalStateException("no state for " + plan);
    }

    private void completeWhenDrained() {
        for (PlanState plan : plans) {
            if (plan.openCalls() > 0) {
                return;
            }
        }
        drained.complete(null);
    }

    /** Returns a future that completes when the load has stopped and no call is open. */
    CompletableFuture<Void> drained() {
        return drained;
    }

    /** Returns the call outcomes by nonce; to be read after all calls have ended. */
    CallOutcomes outcomes() {
        return outcomes;
    }

    /** Returns the statistics by entry host and runner; to be read after all calls have ended. */
    Map<String, AttemptStatistics> statisticsByRoute() {
        return statisticsByRoute;
    }

    /** Returns the states of all plans. */
    List<PlanState> plans() {
        return new ArrayList<>(plans);
    }

    /** The phase of the load test. */
    private enum Phase {
        WARMING_UP,
        MEASURING,
        STOPPING
    }
}
