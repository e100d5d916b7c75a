package org.mangowall.edge.decision;

import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.mangowall.edge.model.PromptDescription;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Simulates the loads for which the placement is designed. */
class PlacementLoadTest {

    private static final int ENGINES = 13;
    private static final double TOKENS_PER_SECOND = 399_000;

    /** Two workspaces overload the fleet, one with mostly cached prompts; both must be served alike. */
    @Test
    void twoOverloadingWorkspacesAreServedAlike() {
        EngineSimulation simulation = new EngineSimulation(ENGINES, TOKENS_PER_SECOND, 1);
        simulation.load("reads", 160, 0, 12, random -> Fixtures.prompt(6_600, 60, random.nextLong()));
        simulation.load("writes", 200, 0, 12, random -> {
            long subject = random.nextInt(20);
            return Fixtures.prompt(6_600, 60, subject, 100 + subject, 200 + subject, 300 + subject);
        });
        for (int index = 0; index < 14; index++) {
            simulation.load("small-" + index, 3, 0, 12, random -> Fixtures.prompt(1_500, 200, random.nextLong()));
        }
        simulation.runToEnd();
        long reads = simulation.outcomes("reads").servedTokens();
        long writes = simulation.outcomes("writes").servedTokens();
        assertTrue(Math.min(reads, writes) * 2 >= Math.max(reads, writes), "reads " + reads + ", writes " + writes);
        for (int index = 0; index < 14; index++) {
            EngineSimulation.Outcomes small = simulation.outcomes("small-" + index);
            assertTrue(
                    small.withinGoal() >= 0.85 * small.requested(),
                    "small-" + index + " " + small.withinGoal() + "/" + small.requested());
        }
    }

    /** Both workspaces exceed their share, one many times over with cached prompts; its excess is rejected first. */
    @Test
    void theLargerExcessIsRejectedFirst() {
        EngineSimulation simulation = new EngineSimulation(ENGINES, TOKENS_PER_SECOND, 5);
        simulation.load("reads", 100, 0, 12, random -> Fixtures.prompt(6_600, 60, random.nextLong()));
        simulation.load("kept", 900, 0, 12, random -> {
            long subject = random.nextInt(20);
            return Fixtures.prompt(6_600, 60, subject, 100 + subject, 200 + subject, 300 + subject);
        });
        simulation.runToEnd();
        long reads = simulation.outcomes("reads").servedTokens();
        long kept = simulation.outcomes("kept").servedTokens();
        long expected = Math.min(simulation.outcomes("reads").requestedTokens(), kept);
        assertTrue(reads * 2 >= expected, "reads " + reads + " of " + expected + ", kept " + kept);
    }

    /** Callers of one workspace all use a host that responds late; others that overload the fleet yield to it. */
    @Test
    void aWorkspaceAtACrowdedHostGetsItsShare() {
        EngineSimulation simulation = new EngineSimulation(ENGINES, 900_000, 7, 60, 0, 0, 0, 0, 0);
        simulation.loadAtFirstHost("crowded", 80, 0, 12, random -> Fixtures.prompt(6_600, 380, random.nextLong()));
        simulation.load("large", 250, 0, 12, random -> Fixtures.prompt(6_600, 380, random.nextLong()));
        for (int index = 0; index < 14; index++) {
            simulation.load("small-" + index, 1, 0, 12, random -> Fixtures.prompt(6_600, 380, random.nextLong()));
        }
        simulation.runToEnd();
        EngineSimulation.Outcomes crowded = simulation.outcomes("crowded");
        long large = simulation.outcomes("large").begunTokens();
        long owed = Math.min(crowded.requestedTokens(), large);
        assertTrue(
                crowded.begunTokens() * 2 >= owed,
                "crowded " + crowded.begunTokens() + " of " + crowded.requestedTokens() + ", large " + large);
    }

    /** The processor of the host where all callers of one workspace enter bounds what it gets; others yield to it. */
    @Test
    void aWorkspaceThatItsHostHoldsBackIsNotLeftFarBehind() {
        EngineSimulation simulation = new EngineSimulation(ENGINES, 250_000, 7, 0, 0, 0, 0, 0, 0);
        simulation.limitFirstHost(60);
        simulation.loadAtFirstHost("crowded", 80, 0, 18, random -> Fixtures.prompt(6_600, 380, random.nextLong()));
        simulation.load("large", 250, 0, 18, random -> Fixtures.prompt(6_600, 380, random.nextInt(50)));
        for (int index = 0; index < 14; index++) {
            simulation.load("small-" + index, 1, 0, 18, random -> Fixtures.prompt(6_600, 380, random.nextLong()));
        }
        simulation.runToEnd();
        long crowded = simulation.outcomes("crowded").begunTokens();
        long large = simulation.outcomes("large").begunTokens();
        assertTrue(crowded * 2 >= large, "crowded " + crowded + ", large " + large);
    }

    /** A host whose own link delays everything by half a second has callers whom the idle runners can serve. */
    @Test
    void aHostDoesNotTakeItsOwnDelayForTheRunners() {
        EngineSimulation simulation = new EngineSimulation(ENGINES, 900_000, 8, 500, 0, 0);
        simulation.measureDelayOfFirstHost();
        simulation.loadAtFirstHost("crowded", 40, 0, 12, random -> Fixtures.prompt(3_000, 100, random.nextLong()));
        simulation.runToEnd();
        EngineSimulation.Outcomes crowded = simulation.outcomes("crowded");
        assertEquals(0, crowded.rejected(), "of " + crowded.requested());
    }

    /** Load above capacity: admitted requests meet the latency goal, the rest is rejected at once. */
    @Test
    void overloadIsRejectedAndTheRestIsInTime() {
        EngineSimulation simulation = new EngineSimulation(ENGINES, 0, 2);
        simulation.load("all", 900, 0, 10, random -> Fixtures.prompt(2_500, 120, random.nextLong()));
        simulation.runToEnd();
        EngineSimulation.Outcomes all = simulation.outcomes("all");
        int admitted = all.requested() - all.rejected();
        assertTrue(all.rejected() > 0, "no request was rejected");
        assertTrue(all.withinGoal() >= 0.9 * admitted, all.withinGoal() + " of " + admitted + " in time");
        double processedTokensPerMilli = admitted * 2_500.0 / 10 / 1_000;
        assertTrue(
                processedTokensPerMilli >= 0.8 * ENGINES * 80,
                "the engines processed " + processedTokensPerMilli + " tokens a millisecond");
    }

    /** A quarter of all requests share one long prefix, which only few engines may process. */
    @Test
    void aSharedPrefixIsProcessedFewTimes() {
        EngineSimulation simulation = new EngineSimulation(ENGINES, 0, 3);
        simulation.load("hot", 70, 0, 10, random -> Fixtures.prompt(6_000, 100, 42));
        simulation.load("cold", 200, 0, 10, random -> Fixtures.prompt(1_000, 100, random.nextLong()));
        simulation.runToEnd();
        EngineSimulation.Outcomes hot = simulation.outcomes("hot");
        assertTrue(hot.withinGoal() >= 0.95 * hot.requested(), hot.withinGoal() + " of " + hot.requested());
        int busiest = Collections.max(simulation.sentByRunner().values());
        int sent = simulation.sentByRunner().values().stream()
                .mapToInt(Integer::intValue)
                .sum();
        assertTrue(busiest <= 2.0 * sent / ENGINES, "the busiest engine got " + busiest + " of " + sent);
        long withoutSharing =
                hot.requested() * 6_000L + simulation.outcomes("cold").requested() * 1_000L;
        assertTrue(
                simulation.processedTokens() < 0.75 * withoutSharing,
                simulation.processedTokens() + " tokens processed");
    }

    /** Requests with the same long prefix arrive while the first of them is still being processed. */
    @Test
    void aPrefixInProcessingIsNotProcessedElsewhere() {
        FleetLoad fleet = new FleetLoad("host", Fixtures.WINDOW_NANOS);
        fleet.installTable(Fixtures.table(0, 0));
        for (int index = 0; index < ENGINES; index++) {
            fleet.installRunner(Fixtures.runner("runner-" + index, Fixtures.ENGINES, "a", 0), 0);
        }
        Placement placement = new Placement(fleet, Fixtures.WINDOW_NANOS);
        Set<String> runners = new HashSet<>();
        for (int request = 1; request <= 4; request++) {
            PromptDescription prompt = Fixtures.prompt(5_000, 50, 7);
            PlacementDecision.Send send = assertInstanceOf(
                    PlacementDecision.Send.class,
                    placement.decide(Fixtures.stream("w", prompt, request / 5.0), request * Fixtures.MILLI));
            runners.add(send.runner().identifier());
            fleet.apply(
                    "host",
                    new LoadEvent.Sent(
                            request,
                            send.runner().identifier(),
                            Optional.of("w"),
                            prompt.parts(),
                            send.prefillTokens(),
                            5_050,
                            5_100,
                            Optional.empty()),
                    request * Fixtures.MILLI);
        }
        assertEquals(1, runners.size(), "processed by " + runners);
    }

    /** Long prompts among many short ones must not all be rejected. */
    @Test
    void longPromptsAreNotStarved() {
        EngineSimulation simulation = new EngineSimulation(ENGINES, 0, 4);
        simulation.load("short", 500, 0, 10, random -> Fixtures.prompt(1_200, 150, random.nextLong()));
        simulation.load("long", 5, 0, 10, random -> Fixtures.prompt(30_000, 300, random.nextLong()));
        simulation.runToEnd();
        EngineSimulation.Outcomes large = simulation.outcomes("long");
        assertTrue(
                large.rejected() * 2 <= large.requested(), large.rejected() + " of " + large.requested() + " refused");
    }

    @Test
    void nothingIsRejectedWhileARunnerIsIdle() {
        FleetLoad fleet = new FleetLoad("host", Fixtures.WINDOW_NANOS);
        fleet.installTable(Fixtures.table(1, 0));
        fleet.installRunner(Fixtures.runner("r", Fixtures.ENGINES, "a", 0), 0);
        Placement placement = new Placement(fleet, Fixtures.WINDOW_NANOS);
        PromptDescription huge = Fixtures.prompt(60_000, 500);
        for (int request = 1; request <= 20; request++) {
            long now = request * Fixtures.MILLI;
            assertInstanceOf(PlacementDecision.Send.class, placement.decide(Fixtures.stream("w", huge, 0.5), now));
            fleet.apply("host", sent(request, "r", 100_000), now);
            fleet.apply("host", new LoadEvent.ResponseStarted(request), now);
            fleet.apply("host", new LoadEvent.Ended(request, RunOutcome.COMPLETE, OptionalLong.empty()), now);
        }
    }

    private static LoadEvent.Sent sent(long number, String runner, long costTokens) {
        return new LoadEvent.Sent(
                number, runner, Optional.of("w"), List.of(), 1_000, 1_000, costTokens, Optional.empty());
    }

    /** A runner whose requests fail gets fewer of them, but is used when all others are excluded. */
    @Test
    void aFailingRunnerIsAvoided() {
        FleetLoad fleet = new FleetLoad("host", Fixtures.WINDOW_NANOS);
        fleet.installTable(Fixtures.table(0, 0));
        for (String name : Set.of("bad", "good-1", "good-2")) {
            fleet.installRunner(Fixtures.runner(name, Fixtures.PLAIN, "a", 0), 0);
        }
        Placement placement = new Placement(fleet, Fixtures.WINDOW_NANOS);
        int toBad = 0;
        for (int request = 0; request < 300; request++) {
            long now = request * 10 * Fixtures.MILLI;
            PlacementDecision.Send send = assertInstanceOf(
                    PlacementDecision.Send.class, placement.decide(Fixtures.call(request % 10 / 10.0, Set.of()), now));
            boolean isBad = send.runner().identifier().equals("bad");
            toBad += isBad ? 1 : 0;
            fleet.recordResponse(send.runner().identifier(), isBad && request % 2 == 0, now);
        }
        assertTrue(toBad < 40, toBad + " of 300 requests went to the failing runner");
        Set<String> excluded = new HashSet<>(Set.of("good-1", "good-2"));
        PlacementDecision.Send last = assertInstanceOf(
                PlacementDecision.Send.class, placement.decide(Fixtures.call(0.5, excluded), 3_100 * Fixtures.MILLI));
        assertEquals("bad", last.runner().identifier());
    }

    @Test
    void aClosedZoneReceivesNoRequests() {
        FleetLoad fleet = new FleetLoad("host", Fixtures.WINDOW_NANOS);
        fleet.installTable(Fixtures.table(0, 0));
        fleet.installRunner(Fixtures.runner("r", Fixtures.PLAIN, "b", 0), 0);
        Placement placement = new Placement(fleet, Fixtures.WINDOW_NANOS);
        fleet.closeZone("b");
        assertInstanceOf(PlacementDecision.Reject.class, placement.decide(Fixtures.call(0.5, Set.of()), 0));
        fleet.openZone("b", 0);
        assertInstanceOf(PlacementDecision.Send.class, placement.decide(Fixtures.call(0.5, Set.of()), 0));
    }
}
