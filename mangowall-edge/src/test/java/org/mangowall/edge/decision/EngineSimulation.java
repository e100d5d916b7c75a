package org.mangowall.edge.decision;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.PriorityQueue;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.mangowall.edge.model.PromptDescription;

/**
 * Discrete-event simulation of a load on simple engines, placed by {@link Placement} on one or more hosts. Each engine
 * processes its prompts one after the other and generates all outputs concurrently; time is virtual.
 */
final class EngineSimulation {

    /** Prompt tokens that an engine processes in a millisecond while it generates other outputs. */
    private static final double PROCESSED_TOKENS_PER_MILLI = 80;

    private static final double BASE_MILLIS = 62;
    private static final double MILLIS_PER_OUTPUT_TOKEN = 10;

    /** Time after which the events of a host reach the other hosts. */
    private static final long REPORT_DELAY_NANOS = 100 * Fixtures.MILLI;

    private final List<Host> hosts = new ArrayList<>();
    private final UniformRandomProvider random;
    private final Map<String, Long> busyUntil = new HashMap<>();
    private final Map<String, Long> processedTokens = new HashMap<>();
    private final PriorityQueue<Event> events = new PriorityQueue<>((one, other) -> Long.compare(one.at(), other.at()));
    private final Map<String, Outcomes> outcomesByWorkspace = new HashMap<>();
    private final Map<String, Integer> sentByRunner = new HashMap<>();
    private long lastNumber;
    private long firstHostIntervalNanos;
    private long firstHostBusyUntil;

    EngineSimulation(int engines, double tokensPerSecond, long seed) {
        this(engines, tokensPerSecond, seed, 0);
    }

    /**
     * Creates a simulation without load.
     *
     * @param hostDelaysMillis for each host, by how much it delays a request and its response
     */
    EngineSimulation(int engines, double tokensPerSecond, long seed, double... hostDelaysMillis) {
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        for (double delayMillis : hostDelaysMillis) {
            String name = hosts.isEmpty() ? "host" : "host-" + hosts.size();
            FleetLoad fleet = new FleetLoad(name, Fixtures.WINDOW_NANOS);
            fleet.installTable(Fixtures.table(tokensPerSecond, 0));
            for (int index = 0; index < engines; index++) {
                String zone = index % 2 == 0 ? "a" : "b";
                fleet.installRunner(Fixtures.runner("runner-" + index, Fixtures.ENGINES, zone, 0), 0);
            }
            hosts.add(new Host(name, fleet, new Placement(fleet, Fixtures.WINDOW_NANOS), delayMillis, 0));
        }
    }

    private record Host(
            String name, FleetLoad fleet, Placement placement, double delayMillis, double measuredDelayMillis) {}

    /** Lets the first host measure the delay of its own path. */
    void measureDelayOfFirstHost() {
        Host first = hosts.getFirst();
        hosts.set(
                0, new Host(first.name(), first.fleet(), first.placement(), first.delayMillis(), first.delayMillis()));
    }

    /** Lets the first host refuse what exceeds the number of requests that its processor can forward. */
    void limitFirstHost(double requestsPerSecond) {
        firstHostIntervalNanos = (long) (1e9 / requestsPerSecond);
    }

    private boolean isHostBusy(Host host, long now) {
        if (host != hosts.getFirst() || now >= firstHostBusyUntil) {
            firstHostBusyUntil = host == hosts.getFirst() ? now + firstHostIntervalNanos : firstHostBusyUntil;
            return false;
        }
        return true;
    }

    /** Outcomes of a workspace's requests. */
    static final class Outcomes {
        private long requestedTokens;
        private long servedTokens;
        private long begunTokens;
        private int requested;
        private int withinGoal;
        private int rejected;

        long requestedTokens() {
            return requestedTokens;
        }

        long servedTokens() {
            return servedTokens;
        }

        /** Tokens of the requests whose response began, also after the goal. */
        long begunTokens() {
            return begunTokens;
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

    /** Adds requests of a workspace, at any host, as a Poisson process with a constant rate. */
    void load(String workspace, double perSecond, double fromSecond, double toSecond, Prompts prompts) {
        load(workspace, hosts, perSecond, fromSecond, toSecond, prompts);
    }

    /** Adds requests of a workspace whose callers all use the first host. */
    void loadAtFirstHost(String workspace, double perSecond, double fromSecond, double toSecond, Prompts prompts) {
        load(workspace, hosts.subList(0, 1), perSecond, fromSecond, toSecond, prompts);
    }

    private void load(
            String workspace,
            List<Host> entryHosts,
            double perSecond,
            double fromSecond,
            double toSecond,
            Prompts prompts) {
        double at = fromSecond;
        while (at < toSecond) {
            at += -Math.log(1 - random.nextDouble()) / perSecond;
            long nanos = (long) (at * 1e9);
            PromptDescription prompt = prompts.next(random);
            Host host =
                    entryHosts.size() == 1 ? entryHosts.getFirst() : entryHosts.get(random.nextInt(entryHosts.size()));
            events.add(new Event(nanos, () -> arrive(host, workspace, prompt, nanos)));
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

    private void arrive(Host host, String workspace, PromptDescription prompt, long now) {
        Outcomes outcomes = outcomesByWorkspace.computeIfAbsent(workspace, name -> new Outcomes());
        outcomes.requested += 1;
        outcomes.requestedTokens += prompt.costTokens();
        if (isHostBusy(host, now)) {
            outcomes.rejected += 1;
            publish(host, new LoadEvent.TurnedAway(workspace, prompt.costTokens()), now);
            return;
        }
        PlacementDecision decision =
                host.placement().decide(Fixtures.stream(workspace, prompt, random.nextDouble()), now);
        switch (decision) {
            case PlacementDecision.Reject reject -> {
                outcomes.rejected += 1;
                publish(host, new LoadEvent.TurnedAway(workspace, prompt.costTokens()), now);
            }
            case PlacementDecision.Send send -> run(host, workspace, prompt, send, now, outcomes);
        }
    }

    private void publish(Host host, LoadEvent event, long now) {
        host.fleet().apply(host.name(), event, now);
        if (hosts.size() == 1) {
            return;
        }
        long at = now + REPORT_DELAY_NANOS;
        events.add(new Event(
                at,
                () -> hosts.stream()
                        .filter(other -> other != host)
                        .forEach(other -> other.fleet().apply(host.name(), event, at))));
    }

    private void run(
            Host host,
            String workspace,
            PromptDescription prompt,
            PlacementDecision.Send send,
            long now,
            Outcomes outcomes) {
        lastNumber += 1;
        long requestNumber = lastNumber;
        String runner = send.runner().identifier();
        sentByRunner.merge(runner, 1, Integer::sum);
        publish(
                host,
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
        long first = processedAt + (long) ((BASE_MILLIS + host.delayMillis()) * Fixtures.MILLI);
        events.add(new Event(first, () -> {
            double millis = (first - now) / (double) Fixtures.MILLI;
            host.fleet().recordFirstToken(runner, send.waitedTokens(), millis, host.measuredDelayMillis());
            publish(host, new LoadEvent.ResponseStarted(requestNumber), first);
            outcomes.begunTokens += prompt.costTokens();
            if (millis <= Fixtures.STREAMS.latencyGoal().toMillis()) {
                outcomes.withinGoal += 1;
                outcomes.servedTokens += prompt.costTokens();
            }
        }));
        long end = first + (long) (prompt.outputTokens() * MILLIS_PER_OUTPUT_TOKEN * Fixtures.MILLI);
        events.add(new Event(
                end,
                () -> publish(
                        host, new LoadEvent.Ended(requestNumber, RunOutcome.COMPLETE, OptionalLong.empty()), end)));
    }
}
