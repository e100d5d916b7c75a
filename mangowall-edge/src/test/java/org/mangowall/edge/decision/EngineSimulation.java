package org.mangowall.edge.decision;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.mangowall.edge.model.PromptDescription;

/**
 * Plays a load against the decisions with simple engines: each reads one prompt after the other and generates the
 * answers of all beside. Time is counted, nothing waits.
 */
final class EngineSimulation {

    /** Tokens that an engine reads in a millisecond while it generates for others. */
    private static final double READ_TOKENS_PER_MILLI = 80;

    private static final double BASE_MILLIS = 62;
    private static final double MILLIS_PER_OUTPUT_TOKEN = 10;

    private final FleetLoad fleet = new FleetLoad("host", Fixtures.WINDOW_NANOS);
    private final Placement placement = new Placement(fleet, Fixtures.WINDOW_NANOS);
    private final UniformRandomProvider random;
    private final Map<String, Long> readingUntil = new HashMap<>();
    private final Map<String, Long> readTokens = new HashMap<>();
    private final PriorityQueue<Event> events = new PriorityQueue<>((one, other) -> Long.compare(one.at(), other.at()));
    private final Map<String, Tally> tallies = new HashMap<>();
    private final Map<String, Integer> sentByRunner = new HashMap<>();
    private long number;

    EngineSimulation(int engines, double tokensPerSecond, long seed) {
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        fleet.installTable(Fixtures.table(tokensPerSecond, 0));
        for (int index = 0; index < engines; index++) {
            fleet.installRunner(Fixtures.runner("runner-" + index, Fixtures.ENGINES, index % 2 == 0 ? "a" : "b", 0), 0);
        }
    }

    /** What became of a workspace's requests. */
    static final class Tally {
        private long askedTokens;
        private long servedTokens;
        private int asked;
        private int inGoal;
        private int refused;

        long askedTokens() {
            return askedTokens;
        }

        long servedTokens() {
            return servedTokens;
        }

        int asked() {
            return asked;
        }

        int inGoal() {
            return inGoal;
        }

        int refused() {
            return refused;
        }
    }

    private record Event(long at, Runnable action) {}

    /** Adds requests of a workspace at a steady rate. */
    void load(String workspace, double perSecond, double fromSecond, double toSecond, Prompts prompts) {
        double at = fromSecond;
        while (at < toSecond) {
            at += -Math.log(1 - random.nextDouble()) / perSecond;
            long nanos = (long) (at * 1e9);
            PromptDescription prompt = prompts.next(random);
            events.add(new Event(nanos, () -> arrive(workspace, prompt, nanos)));
        }
    }

    /** Makes the prompts of a load. */
    @FunctionalInterface
    interface Prompts {

        /** The next prompt. */
        PromptDescription next(UniformRandomProvider random);
    }

    void play() {
        while (!events.isEmpty()) {
            events.poll().action().run();
        }
    }

    Tally tally(String workspace) {
        return tallies.getOrDefault(workspace, new Tally());
    }

    Map<String, Integer> sentByRunner() {
        return sentByRunner;
    }

    long tokensRead() {
        return readTokens.values().stream().mapToLong(Long::longValue).sum();
    }

    private void arrive(String workspace, PromptDescription prompt, long now) {
        Tally tally = tallies.computeIfAbsent(workspace, name -> new Tally());
        tally.asked += 1;
        tally.askedTokens += prompt.costTokens();
        PlacementDecision decision = placement.decide(Fixtures.stream(workspace, prompt, random.nextDouble()), now);
        switch (decision) {
            case PlacementDecision.Refuse refuse -> tally.refused += 1;
            case PlacementDecision.Send send -> run(workspace, prompt, send, now, tally);
        }
    }

    private void run(String workspace, PromptDescription prompt, PlacementDecision.Send send, long now, Tally tally) {
        number += 1;
        long own = number;
        String runner = send.runner().identifier();
        sentByRunner.merge(runner, 1, Integer::sum);
        fleet.apply(
                "host",
                new LoadEvent.Sent(
                        own,
                        runner,
                        Optional.of(workspace),
                        prompt.parts(),
                        send.unreadTokens(),
                        prompt.promptTokens(),
                        prompt.costTokens()),
                now);
        readTokens.merge(runner, (long) send.unreadTokens(), Long::sum);
        long begin = Math.max(now, readingUntil.getOrDefault(runner, 0L));
        long read = begin + (long) (send.unreadTokens() / READ_TOKENS_PER_MILLI * Fixtures.MILLI);
        readingUntil.put(runner, read);
        long first = read + (long) (BASE_MILLIS * Fixtures.MILLI);
        events.add(new Event(first, () -> {
            double millis = (first - now) / (double) Fixtures.MILLI;
            fleet.firstEvent(runner, send.waitedTokens(), millis);
            fleet.apply("host", new LoadEvent.AnswerBegun(own), first);
            if (millis <= Fixtures.STREAMS.latencyGoal().toMillis()) {
                tally.inGoal += 1;
                tally.servedTokens += prompt.costTokens();
            }
        }));
        long end = first + (long) (prompt.outputTokens() * MILLIS_PER_OUTPUT_TOKEN * Fixtures.MILLI);
        events.add(new Event(end, () -> fleet.apply("host", new LoadEvent.Ended(own), end)));
    }
}
