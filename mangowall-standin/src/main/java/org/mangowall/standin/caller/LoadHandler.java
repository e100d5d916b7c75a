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

/** Begins calls as the plans say, repeats keyed ones, and counts how they end. */
final class LoadHandler implements DutyHandler<LoadEvent> {

    private static final long GAP_SAMPLE_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    private final AsyncHttpClient client;
    private final EntryHosts entryHosts;
    private final DirectAddresses directAddresses;
    private final RandomGenerator random;
    private final List<PlanState> plans;
    private final GapMeter gapMeter;
    private final LoadSink sink;
    private final Map<String, Tally> tallyByPair = new HashMap<>();
    private final CallOutcomes outcomes = new CallOutcomes();
    private final CompletableFuture<Void> drained = new CompletableFuture<>();
    private Phase phase = Phase.WARMING_UP;
    private long nextGapSampleNanos;

    LoadHandler(
            AsyncHttpClient client,
            EntryHosts entryHosts,
            DirectAddresses directAddresses,
            RandomGenerator random,
            List<PlanState> plans,
            GapMeter gapMeter,
            LoadSink sink) {
        this.client = client;
        this.entryHosts = entryHosts;
        this.directAddresses = directAddresses;
        this.random = random;
        this.plans = List.copyOf(plans);
        this.gapMeter = gapMeter;
        this.sink = sink;
    }

    @Override
    public void handle(LoadEvent event) {
        switch (event) {
            case LoadEvent.CallEnded ended -> callEnded(ended.end());
            case LoadEvent.MeasurementBegins begins -> phase = Phase.MEASURING;
            case LoadEvent.LoadStops stops -> phase = Phase.STOPPING;
        }
    }

    @Override
    public void tick() {
        long now = System.nanoTime();
        entryHosts.refresh(now);
        if (phase == Phase.STOPPING) {
            completeWhenDrained();
            return;
        }
        if (phase == Phase.MEASURING && now - nextGapSampleNanos >= 0) {
            gapMeter.sample();
            nextGapSampleNanos = now + GAP_SAMPLE_NANOS;
        }
        for (PlanState plan : plans) {
            beginDueCalls(plan, now);
        }
    }

    private void beginDueCalls(PlanState state, long now) {
        int due = state.dueStarts(now);
        for (int index = 0; index < due; index++) {
            state.callBegan();
            sendTry(state, new Call(state.plan(), state.nextNonce(), random), false);
        }
    }

    private void sendTry(PlanState state, Call call, boolean elsewhere) {
        String address = addressFor(call.plan(), elsewhere);
        AnswerCollector collector = new AnswerCollector(
                call, address, state.streamedTokens(), end -> sink.offer(new LoadEvent.CallEnded(end)));
        client.executeRequest(call.nextTry(address), collector);
    }

    private String addressFor(LoadPlan plan, boolean elsewhere) {
        if (plan.direct()) {
            return directAddresses.next(plan.service());
        }
        return elsewhere ? entryHosts.chooseAnew(plan.workspace()) : entryHosts.of(plan.workspace());
    }

    private void callEnded(CallEnd end) {
        PlanState state = stateOf(end.call().plan());
        outcomes.add(end);
        if (phase == Phase.MEASURING) {
            state.tally().add(end);
            tallyByPair
                    .computeIfAbsent(end.address() + " " + end.runner(), pair -> new Tally())
                    .add(end);
        }
        if (mayTryAgain(end)) {
            sendTry(state, end.call(), true);
            return;
        }
        if (end.verdict() != Verdict.ANSWERED && !end.call().plan().direct()) {
            entryHosts.chooseAnew(end.call().plan().workspace());
        }
        state.callEnded(end.verdict(), System.nanoTime());
    }

    private boolean mayTryAgain(CallEnd end) {
        LoadPlan plan = end.call().plan();
        return plan.keyed()
                && end.verdict() != Verdict.ANSWERED
                && end.call().tries() < plan.tries()
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

    /** Completes when the load has stopped and no call is open. */
    CompletableFuture<Void> drained() {
        return drained;
    }

    /** What callers were told, by nonce; to be read when all calls have ended. */
    CallOutcomes outcomes() {
        return outcomes;
    }

    /** The tallies by entry host and runner; to be read when all calls have ended. */
    Map<String, Tally> tallyByPair() {
        return tallyByPair;
    }

    /** The states of all plans. */
    List<PlanState> plans() {
        return new ArrayList<>(plans);
    }

    /** How far the run is. */
    private enum Phase {
        WARMING_UP,
        MEASURING,
        STOPPING
    }
}
