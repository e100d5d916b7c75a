package org.mangowall.edge.decision;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.mangowall.edge.model.PromptDescription;

/**
 * Discrete-event simulation of a load on simple engines, placed by {@link Placement}. Each engine processes its prompts
 * one after the other and generates all outputs concurrently; time is virtual.
 */
final class EngineSimulation {

    /** Prompt tokens that an engine processes in a millisecond while it generates other outputs. */
    private static final double PROCESSED_TOKENS_PER_MILLI = 80;

    private static final double BASE_MILLIS = 62;
    private static final double MILLIS_PER_OUTPUT_TOKEN = 10;

    private final FleetLoad fleet = new FleetLoad("host", Fixtures.WINDOW_NANOS);
    private final Placement placement = new Placement(fleet, Fixtures.WINDOW_NANOS);
    private final UniformRandomProvider random;
    private final Map<String, Long> busyUntil = new HashMap<>();
    private final Map<String, Long> processedTokens = new HashMap<>();
    private final PriorityQueue<Event> events = new PriorityQueue<>((one, other) -> Long.compare(one.at(), other.at()));
    private final Map<String, Outcomes> outcomesByWorkspace = new HashMap<>();
    private final Map<String, Integer> sentByRunner = new HashMap<>();
    private long lastNumber;

    EngineSimulation(int engines, double tokensPerSecond, long seed) {
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        fleet.installTable(Fixtures.table(tokensPerSecond, 0));
        for (int index = 0; index < engines; index++) {
            fleet.installRunner(Fixtures.runner("runner-" + index, Fixtures.ENGINES, index % 2 == 0 ? "a" : "b", 0), 0);
        }
    }

    /** Outcomes of a workspace's requests. */
    static final class Outcomes {
        private long requestedTokens;
        private long servedTokens;
        private int requested;
        private int withinGoal;
        private int rejected;

        long requestedTokens() {
            return requestedTokens;
        }

        long servedTokens() {
            return servedTokens;
        }

        int requested() {
            return requested;
        }

        int withinGoal() {
            return withinGoal;
        }

        int rejected() {
            return rejected;
        }
    }

    private record Event(long at, Runnable action) {}

    /** Adds requests of a workspace as a Poisson process with a constant rate. */
    void load(String workspace, double perSecond, double fromSecond, double toSecond, Prompts prompts) {
        double at = fromSecond;
        while (at < toSecond) {
            at += -Math.log(1 - random.nextDouble()) / perSecond;
            long nanos = (long) (at * 1e9);
            PromptDescription prompt = prompts.next(random);
            events.add(new Event(nanos, () -> arrive(workspace, prompt, nanos)));
        }
    }

    /** Generates the prompts of a load. */
    @FunctionalInterface
    interface Prompts {

        /** Returns the next prompt. */
        PromptDescription next(UniformRandomProvider random);
    }

    void runToEnd() {
        while (!events.isEmpty()) {
            events.poll().action().run();
        }
    }

    Outcomes outcomes(String workspace) {
        return outcomesByWorkspace.getOrDefault(workspace, new Outcomes());
    }

    Map<String, Integer> sentByRunner() {
        return sentByRunner;
    }

    long processedTokens() {
        return processedTokens.values().stream().mapToLong(Long::longValue).sum();
    }

    private void arrive(String workspace, PromptDescription prompt, long now) {
        Outcomes outcomes = outcomesByWorkspace.computeIfAbsent(workspace, name -> new Outcomes());
        outcomes.requested += 1;
        outcomes.requestedTokens += prompt.costTokens();
        PlacementDecision decision = placement.decide(Fixtures.stream(workspace, prompt, random.nextDouble()), now);
        switch (decision) {
            case PlacementDecision.Reject reject -> outcomes.rejected += 1;
            case PlacementDecision.Send send -> run(workspace, prompt, send, now, outcomes);
        }
    }

    private void run(
            String workspace, PromptDescription prompt, PlacementDecision.Send send, long now, Outcomes outcomes) {
        lastNumber += 1;
        long requestNumber = lastNumber;
        String runner = send.runner().identifier();
        sentByRunner.merge(runner, 1, Integer::sum);
        fleet.apply(
                "host",
                new LoadEvent.Sent(
                        requestNumber,
                        runner,
                        Optional.of(workspace),
                        prompt.parts(),
                        send.prefillTokens(),
                        prompt.promptTokens(),
                        prompt.costTokens(),
                        Optional.empty()),
                now);
        processedTokens.merge(runner, (long) send.prefillTokens(), Long::sum);
        long begin = Math.max(now, busyUntil.getOrDefault(runner, 0L));
        long processedAt = begin + (long) (send.prefillTokens() / PROCESSED_TOKENS_PER_MILLI * Fixtures.MILLI);
        busyUntil.put(runner, processedAt);
        long first = processedAt + (long) (BASE_MILLIS * Fixtures.MILLI);
        events.add(new Event(first, () -> {
            double millis = (first - now) / (double) Fixtures.MILLI;
            fleet.recordFirstToken(runner, send.waitedTokens(), millis);
            fleet.apply("host", new LoadEvent.ResponseStarted(requestNumber), first);
            if (millis <= Fixtures.STREAMS.latencyGoal().toMillis()) {
                outcomes.withinGoal += 1;
                outcomes.servedTokens += prompt.costTokens();
            }
        }));
        long end = first + (long) (prompt.outputTokens() * MILLIS_PER_OUTPUT_TOKEN * Fixtures.MILLI);
        events.add(new Event(end, () -> fleet.apply("host", new LoadEvent.Ended(requestNumber), end)));
    }
}
