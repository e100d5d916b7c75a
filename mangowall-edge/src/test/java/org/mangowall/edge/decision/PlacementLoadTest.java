package org.mangowall.edge.decision;

import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.mangowall.edge.model.PromptDescription;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Replays the loads that the decisions answer. */
class PlacementLoadTest {

    private static final int ENGINES = 13;
    private static final double TOKENS_PER_SECOND = 399_000;

    /** Two workspaces flood the fleet, one with prompts of which the engines keep the most. */
    @Test
    void twoFloodingWorkspacesGetAlike() {
        EngineSimulation simulation = new EngineSimulation(ENGINES, TOKENS_PER_SECOND, 1);
        simulation.load("reads", 160, 0, 12, random -> Fixtures.prompt(6_600, 60, random.nextLong()));
        simulation.load("writes", 200, 0, 12, random -> {
            long subject = random.nextInt(20);
            return Fixtures.prompt(6_600, 60, subject, 100 + subject, 200 + subject, 300 + subject);
        });
        for (int index = 0; index < 14; index++) {
            simulation.load("small-" + index, 3, 0, 12, random -> Fixtures.prompt(1_500, 200, random.nextLong()));
        }
        simulation.play();
        long reads = simulation.tally("reads").servedTokens();
        long writes = simulation.tally("writes").servedTokens();
        assertTrue(Math.min(reads, writes) * 2 >= Math.max(reads, writes), "reads " + reads + ", writes " + writes);
        for (int index = 0; index < 14; index++) {
            EngineSimulation.Tally small = simulation.tally("small-" + index);
            assertTrue(
                    small.inGoal() >= 0.85 * small.asked(),
                    "small-" + index + " " + small.inGoal() + "/" + small.asked());
        }
    }

    /** Both take more than they are owed, one of them many times as much, and its prompts are kept. */
    @Test
    void theLargerSurplusYieldsFirst() {
        EngineSimulation simulation = new EngineSimulation(ENGINES, TOKENS_PER_SECOND, 5);
        simulation.load("reads", 100, 0, 12, random -> Fixtures.prompt(6_600, 60, random.nextLong()));
        simulation.load("kept", 900, 0, 12, random -> {
            long subject = random.nextInt(20);
            return Fixtures.prompt(6_600, 60, subject, 100 + subject, 200 + subject, 300 + subject);
        });
        simulation.play();
        long reads = simulation.tally("reads").servedTokens();
        long kept = simulation.tally("kept").servedTokens();
        long owed = Math.min(simulation.tally("reads").askedTokens(), kept);
        assertTrue(reads * 2 >= owed, "reads " + reads + " of " + owed + ", kept " + kept);
    }

    /** More comes than the engines bear: what is let in is answered in time, the rest is told at once. */
    @Test
    void overloadIsTurnedAwayAndTheRestIsInTime() {
        EngineSimulation simulation = new EngineSimulation(ENGINES, 0, 2);
        simulation.load("all", 900, 0, 10, random -> Fixtures.prompt(2_500, 120, random.nextLong()));
        simulation.play();
        EngineSimulation.Tally all = simulation.tally("all");
        int letIn = all.asked() - all.refused();
        assertTrue(all.refused() > 0, "nothing was turned away");
        assertTrue(all.inGoal() >= 0.9 * letIn, all.inGoal() + " of " + letIn + " in time");
        double bornTokens = letIn * 2_500.0 / 10 / 1_000;
        assertTrue(bornTokens >= 0.8 * ENGINES * 80, "the engines read " + bornTokens + " tokens a millisecond");
    }

    /** A quarter of all requests share one long part. */
    @Test
    void aHotPartIsReadFewTimes() {
        EngineSimulation simulation = new EngineSimulation(ENGINES, 0, 3);
        simulation.load("hot", 70, 0, 10, random -> Fixtures.prompt(6_000, 100, 42));
        simulation.load("cold", 200, 0, 10, random -> Fixtures.prompt(1_000, 100, random.nextLong()));
        simulation.play();
        EngineSimulation.Tally hot = simulation.tally("hot");
        assertTrue(hot.inGoal() >= 0.95 * hot.asked(), hot.inGoal() + " of " + hot.asked());
        int most = Collections.max(simulation.sentByRunner().values());
        int sent = simulation.sentByRunner().values().stream()
                .mapToInt(Integer::intValue)
                .sum();
        assertTrue(most <= 2.0 * sent / ENGINES, "the busiest engine got " + most + " of " + sent);
        long withoutSharing = hot.asked() * 6_000L + simulation.tally("cold").asked() * 1_000L;
        assertTrue(simulation.tokensRead() < 0.75 * withoutSharing, simulation.tokensRead() + " tokens read");
    }

    /** Several requests with the same long part come while the first of them is still being read. */
    @Test
    void aPartThatIsBeingReadIsNotReadElsewhere() {
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
                            send.unreadTokens(),
                            5_050,
                            5_100),
                    request * Fixtures.MILLI);
        }
        assertEquals(1, runners.size(), "read at " + runners);
    }

    /** Long prompts among many short ones are served as well. */
    @Test
    void longPromptsAreNotStarved() {
        EngineSimulation simulation = new EngineSimulation(ENGINES, 0, 4);
        simulation.load("short", 500, 0, 10, random -> Fixtures.prompt(1_200, 150, random.nextLong()));
        simulation.load("long", 5, 0, 10, random -> Fixtures.prompt(30_000, 300, random.nextLong()));
        simulation.play();
        EngineSimulation.Tally large = simulation.tally("long");
        assertTrue(large.refused() * 2 <= large.asked(), large.refused() + " of " + large.asked() + " refused");
    }

    @Test
    void nothingIsRefusedWhileARunnerIsIdle() {
        FleetLoad fleet = new FleetLoad("host", Fixtures.WINDOW_NANOS);
        fleet.installTable(Fixtures.table(1, 0));
        fleet.installRunner(Fixtures.runner("r", Fixtures.ENGINES, "a", 0), 0);
        Placement placement = new Placement(fleet, Fixtures.WINDOW_NANOS);
        PromptDescription huge = Fixtures.prompt(60_000, 500);
        for (int request = 1; request <= 20; request++) {
            long now = request * Fixtures.MILLI;
            assertInstanceOf(PlacementDecision.Send.class, placement.decide(Fixtures.stream("w", huge, 0.5), now));
            fleet.apply("host", sent(request, "r", 100_000), now);
            fleet.apply("host", new LoadEvent.AnswerBegun(request), now);
            fleet.apply("host", new LoadEvent.Ended(request), now);
        }
    }

    private static LoadEvent.Sent sent(long number, String runner, long costTokens) {
        return new LoadEvent.Sent(number, runner, Optional.of("w"), List.of(), 1_000, 1_000, costTokens);
    }

    /** A runner that turns requests away gets fewer, and none is offered to it twice. */
    @Test
    void aRunnerInTroubleIsAvoided() {
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
            fleet.answered(send.runner().identifier(), isBad && request % 2 == 0, now);
        }
        assertTrue(toBad < 40, toBad + " of 300 went to the bad runner");
        Set<String> excluded = new HashSet<>(Set.of("good-1", "good-2"));
        PlacementDecision.Send last = assertInstanceOf(
                PlacementDecision.Send.class, placement.decide(Fixtures.call(0.5, excluded), 3_100 * Fixtures.MILLI));
        assertEquals("bad", last.runner().identifier());
    }

    @Test
    void aClosedZoneGetsNothing() {
        FleetLoad fleet = new FleetLoad("host", Fixtures.WINDOW_NANOS);
        fleet.installTable(Fixtures.table(0, 0));
        fleet.installRunner(Fixtures.runner("r", Fixtures.PLAIN, "b", 0), 0);
        Placement placement = new Placement(fleet, Fixtures.WINDOW_NANOS);
        fleet.closeZone("b");
        assertInstanceOf(PlacementDecision.Refuse.class, placement.decide(Fixtures.call(0.5, Set.of()), 0));
        fleet.openZone("b", 0);
        assertInstanceOf(PlacementDecision.Send.class, placement.decide(Fixtures.call(0.5, Set.of()), 0));
    }
}
