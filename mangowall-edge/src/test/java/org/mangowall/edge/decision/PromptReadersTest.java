package org.mangowall.edge.decision;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.mangowall.edge.model.CallerLimits;
import org.mangowall.edge.model.EngineTraits;
import org.mangowall.edge.model.PromptDescription;
import org.mangowall.edge.model.RouteTable;
import org.mangowall.edge.model.RunnerEntry;
import org.mangowall.edge.model.ServiceDescription;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Replays prompts of very uneven length among many streams, whose pause goal is 300 ms. */
class PromptReadersTest {

    private static final long MILLI = Fixtures.MILLI;
    private static final int RUNNERS = 14;
    /** Read in 480 ms by an idle engine of the model's prior pace. */
    private static final int LONG_TOKENS = 40_000;

    private final FleetLoad fleet = new FleetLoad("host", Fixtures.WINDOW_NANOS);
    private final Placement placement = new Placement(fleet, Fixtures.WINDOW_NANOS);
    private long now = 1;
    private long lastNumber;
    private int streamsInProgress = 60;

    @BeforeEach
    void installRunners() {
        fleet.installTable(table(true));
        for (int index = 0; index < RUNNERS; index++) {
            fleet.installRunner(Fixtures.runner("runner-" + index, Fixtures.ENGINES, index % 2 == 0 ? "a" : "b", 0), 0);
        }
    }

    private static RouteTable table(boolean movesRuns) {
        return new RouteTable(
                1,
                List.of(Fixtures.STREAMS),
                List.of(new ServiceDescription(
                        Fixtures.ENGINES,
                        370,
                        Duration.ofSeconds(3),
                        0,
                        Optional.of(new EngineTraits(64, 644_462, 35_136, 92_500_000, movesRuns)))),
                true,
                Map.of("key", "workspace"),
                CallerLimits.DEFAULT,
                0);
    }

    private PlacementDecision.Send place(int tokens) {
        now += 25 * MILLI;
        PromptDescription prompt = Fixtures.prompt(tokens, 100);
        PlacementDecision.Send send = assertInstanceOf(
                PlacementDecision.Send.class,
                placement.decide(Fixtures.stream("w", prompt, now / 25 / MILLI % 20 / 20.0), now));
        lastNumber += 1;
        fleet.apply(
                "host",
                new LoadEvent.Sent(
                        lastNumber,
                        send.runner().identifier(),
                        Optional.of("w"),
                        List.of(),
                        send.prefillTokens(),
                        tokens + 100,
                        tokens + 200,
                        Optional.empty()),
                now);
        fleet.apply("host", new LoadEvent.ResponseStarted(lastNumber), now);
        if (lastNumber > streamsInProgress) {
            fleet.apply(
                    "host",
                    new LoadEvent.Ended(lastNumber - streamsInProgress, RunOutcome.COMPLETE, OptionalLong.empty()),
                    now);
        }
        return send;
    }

    /** Every twelfth prompt is long: once the load is known, runners that read them get no other streams. */
    @Test
    void longPromptsAreReadApart() {
        for (int request = 0; request < 180; request++) {
            place(request % 12 == 0 ? LONG_TOKENS : 1_200);
        }
        Set<String> reading = new HashSet<>();
        Set<String> generating = new HashSet<>();
        for (int request = 180; request < 420; request++) {
            boolean isLong = request % 12 == 0;
            PlacementDecision.Send send = place(isLong ? LONG_TOKENS : 1_200);
            assertEquals(isLong, send.isReadApart(), "request " + request + " at " + send);
            (isLong ? reading : generating).add(send.runner().identifier());
        }
        assertTrue(reading.size() <= RUNNERS / 3, "read at " + reading);
        reading.retainAll(generating);
        assertEquals(Set.of(), reading, "runners that read long prompts among streams");
    }

    /** The run moves on to a runner that reads no long prompts, of the same zone while that is as good. */
    @Test
    void aRunMovesOnToARunnerWithoutLongPrompts() {
        List<RunnerEntry> readers = new ArrayList<>();
        for (int request = 0; request < 40; request++) {
            PlacementDecision.Send send = place(request % 4 == 0 ? LONG_TOKENS : 1_200);
            if (send.isReadApart()) {
                readers.add(send.runner());
            }
        }
        RunnerEntry source = readers.getLast();
        RunnerEntry target = placement
                .moveTarget(source, Fixtures.prompt(LONG_TOKENS, 100), now)
                .orElseThrow();
        assertFalse(readers.contains(target));
        assertEquals(source.zone(), target.zone());
    }

    /** A copy that takes half of the pause goal or more would make the stream late by itself. */
    @Test
    void aRunStaysIfItsCopyTakesTooLong() {
        RunnerEntry source = place(1_200).runner();
        assertTrue(
                placement.moveTarget(source, Fixtures.prompt(300_000, 100), now).isPresent());
        assertEquals(Optional.empty(), placement.moveTarget(source, Fixtures.prompt(450_000, 100), now));
    }

    /** Engines that can't move runs are used as before. */
    @Test
    void withoutMovesNothingIsReadApart() {
        fleet.installTable(table(false));
        for (int request = 0; request < 100; request++) {
            assertFalse(place(request % 12 == 0 ? LONG_TOKENS : 1_200).isReadApart());
        }
        RunnerEntry source = place(1_200).runner();
        assertEquals(Optional.empty(), placement.moveTarget(source, Fixtures.prompt(LONG_TOKENS, 100), now));
    }

    /** Nothing idles while work waits: readers take other requests when all other runners are busy. */
    @Test
    void readersTakeOtherRequestsWhenTheOthersAreBusy() {
        for (int request = 0; request < 60; request++) {
            place(request % 12 == 0 ? LONG_TOKENS : 1_200);
        }
        streamsInProgress = Integer.MAX_VALUE;
        Set<String> used = new HashSet<>();
        for (int request = 0; request < 14 * 64; request++) {
            used.add(place(1_200).runner().identifier());
        }
        assertEquals(RUNNERS, used.size());
    }

    /** Slots that streams need are not kept free for reading: more than half of them are in use. */
    @Test
    void readersAreGivenUpWhenTheirSlotsAreNeeded() {
        for (int request = 0; request < 60; request++) {
            place(request % 12 == 0 ? LONG_TOKENS : 1_200);
        }
        streamsInProgress = Integer.MAX_VALUE;
        for (int request = 0; request < RUNNERS * 64 / 2; request++) {
            place(1_200);
        }
        assertFalse(place(LONG_TOKENS / 2).isReadApart());
    }
}
