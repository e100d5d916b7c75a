package org.mangowall.edge.decision;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.mangowall.edge.model.PromptDescription;
import org.mangowall.edge.model.PromptPart;
import org.mangowall.kernel.failure.FailureCode;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

class CrashQuarantineTest {

    private static final long FIRST = 1;
    private static final long CRASHING = 2;
    private static final long REPEATED = 1_000_000;
    private static final long SECOND = 1_000_000_000L;
    private static final long MINUTE = 60 * SECOND;

    private final FleetLoad fleet = new FleetLoad("self", Fixtures.WINDOW_NANOS);
    private final Placement placement = new Placement(fleet, Fixtures.WINDOW_NANOS);
    private long lastNumber;
    private long now;

    @BeforeEach
    void installRunners() {
        fleet.installTable(Fixtures.table(0, 0));
        fleet.setHosts(List.of("self", "other", "third"));
        for (int index = 0; index < 8; index++) {
            fleet.installRunner(Fixtures.runner("r-" + index, Fixtures.ENGINES, "a", 0), 0);
        }
    }

    private static List<PromptPart> parts(long... identifiers) {
        return Fixtures.prompt(1_000, 50, identifiers).parts();
    }

    private long send(String host, int runner, List<PromptPart> parts) {
        lastNumber += 1;
        fleet.apply(
                host,
                new LoadEvent.Sent(
                        lastNumber, "r-" + runner, Optional.of("w"), parts, 100, 1_000, 1_100, Optional.empty()),
                now);
        return lastNumber;
    }

    private void end(String host, long number, RunOutcome outcome) {
        end(host, number, outcome, OptionalLong.empty());
    }

    private void end(String host, long number, RunOutcome outcome, OptionalLong fingerprint) {
        fleet.apply(host, new LoadEvent.Ended(number, outcome, fingerprint), now);
    }

    private void run(String host, int runner, RunOutcome outcome, long... identifiers) {
        now += SECOND;
        long number = send(host, runner, parts(identifiers));
        now += SECOND;
        end(host, number, outcome);
    }

    private void crashThreeRunners() {
        run("self", 0, RunOutcome.LOST, FIRST, CRASHING, 10);
        run("self", 7, RunOutcome.COMPLETE, FIRST, 3, 11);
        run("other", 1, RunOutcome.LOST, FIRST, CRASHING, 12);
        run("third", 7, RunOutcome.COMPLETE, FIRST, 3, 13);
        run("third", 2, RunOutcome.LOST, FIRST, CRASHING, 14);
    }

    private boolean isQuarantined(long... identifiers) {
        return fleet.quarantine()
                .find(parts(identifiers), OptionalLong.empty(), now)
                .isPresent();
    }

    @Test
    void onlyThePartThatAllCrashesShareIsQuarantined() {
        crashThreeRunners();
        assertTrue(isQuarantined(FIRST, CRASHING, 20));
        assertFalse(isQuarantined(FIRST, 3, 21));
        assertFalse(isQuarantined(FIRST, 22));
        assertEquals(
                List.of(new CrashSuspect.Part(CRASHING)), fleet.quarantine().takeNewlyQuarantined());
        assertEquals(List.of(), fleet.quarantine().takeNewlyQuarantined());
    }

    @Test
    void aRequestWithAQuarantinedPartIsRejectedAtOnce() {
        crashThreeRunners();
        PromptDescription prompt = Fixtures.prompt(1_000, 50, FIRST, CRASHING, 20);
        PlacementDecision.Reject reject = assertInstanceOf(
                PlacementDecision.Reject.class, placement.decide(Fixtures.stream("w", prompt, 0.5), now));
        assertEquals(FailureCode.PROMPT_PART_QUARANTINED, reject.code());
        assertTrue(reject.retryAfterMillis() > 60_000, "retry after " + reject.retryAfterMillis());
    }

    /** The last part belongs to one request or session. */
    @Test
    void theLastPartIsNotJudged() {
        for (int runner = 0; runner < 5; runner++) {
            run(runner % 2 == 0 ? "self" : "other", runner, RunOutcome.LOST, 30 + runner, CRASHING);
        }
        assertFalse(isQuarantined(CRASHING, 40));
    }

    /** Runners that crash at the same moment say nothing about the parts that ran on them. */
    @Test
    void runnersThatCrashTogetherCountOnce() {
        long[] numbers = new long[8];
        for (int runner = 0; runner < numbers.length; runner++) {
            numbers[runner] = send(runner % 2 == 0 ? "self" : "other", runner, parts(FIRST, 3, 50 + runner));
        }
        now += SECOND;
        for (int runner = 0; runner < numbers.length; runner++) {
            end(runner % 2 == 0 ? "self" : "other", numbers[runner], RunOutcome.LOST);
        }
        assertFalse(isQuarantined(FIRST, 3, 60));
    }

    /** Another host may have sent its request before the crash that was reported first. */
    @Test
    void lossesAtOtherHostsWithinTheReportDelayCountOnce() {
        for (int runner = 0; runner < 6; runner++) {
            String host = runner % 2 == 0 ? "other" : "third";
            long number = send(host, runner, parts(FIRST, 3, 50 + runner));
            now += SECOND / 100;
            end(host, number, RunOutcome.LOST);
        }
        assertFalse(isQuarantined(FIRST, 3, 60));
    }

    @Test
    void lossesAtOneHostDontConvictAPart() {
        for (int runner = 0; runner < 6; runner++) {
            run("other", runner, RunOutcome.LOST, FIRST, 3, 50);
        }
        assertFalse(isQuarantined(FIRST, 3, 60));
    }

    @Test
    void lossesAtOneRunnerDontConvictAPart() {
        for (int loss = 0; loss < 6; loss++) {
            run(loss % 2 == 0 ? "self" : "other", 0, RunOutcome.LOST, FIRST, 3, 50);
        }
        assertFalse(isQuarantined(FIRST, 3, 60));
    }

    @Test
    void runsThatEndOtherwiseDontConvictAPart() {
        for (int runner = 0; runner < 6; runner++) {
            run(runner % 2 == 0 ? "self" : "other", runner, RunOutcome.OTHER, FIRST, 3, 50);
        }
        assertFalse(isQuarantined(FIRST, 3, 60));
    }

    @Test
    void aCompleteRunClearsThePart() {
        long running = send("other", 5, parts(FIRST, CRASHING, 70));
        crashThreeRunners();
        end("other", running, RunOutcome.COMPLETE);
        assertFalse(isQuarantined(FIRST, CRASHING, 20));
    }

    @Test
    void aQuarantineEndsAndOneMoreCrashRenewsIt() {
        crashThreeRunners();
        now += 6 * MINUTE;
        assertFalse(isQuarantined(FIRST, CRASHING, 20));
        run("self", 3, RunOutcome.LOST, FIRST, CRASHING, 80);
        assertTrue(isQuarantined(FIRST, CRASHING, 20));
    }

    /** Many lost runs, such as when a zone fails, don't end a quarantine. */
    @Test
    void aQuarantineOutlivesManyOtherLosses() {
        crashThreeRunners();
        for (long part = 1_000; part < 7_000; part++) {
            long number = send("self", 4, parts(part, 90));
            end("self", number, RunOutcome.LOST);
        }
        assertTrue(isQuarantined(FIRST, CRASHING, 20));
    }

    private void runRequest(String host, int runner, RunOutcome outcome, long fingerprint, long... identifiers) {
        now += SECOND;
        long number = send(host, runner, parts(identifiers));
        now += SECOND;
        end(host, number, outcome, OptionalLong.of(fingerprint));
    }

    private boolean isRequestQuarantined(long fingerprint, long... identifiers) {
        return fleet.quarantine()
                .find(parts(identifiers), OptionalLong.of(fingerprint), now)
                .isPresent();
    }

    @Test
    void aRequestThatCrashedThreeRunnersIsRejectedAtOnce() {
        runRequest("self", 0, RunOutcome.LOST, REPEATED, FIRST, 3);
        runRequest("other", 1, RunOutcome.LOST, REPEATED, FIRST, 3);
        assertFalse(isRequestQuarantined(REPEATED, FIRST, 3));
        runRequest("third", 2, RunOutcome.LOST, REPEATED, FIRST, 3);
        assertTrue(isRequestQuarantined(REPEATED, FIRST, 3));
        assertEquals(
                FailureCode.REQUEST_QUARANTINED,
                fleet.quarantine()
                        .find(List.of(), OptionalLong.of(REPEATED), now)
                        .orElseThrow()
                        .suspect()
                        .rejection());
        assertEquals(
                List.of(new CrashSuspect.Request(REPEATED)), fleet.quarantine().takeNewlyQuarantined());
    }

    /** Other requests may have the same parts. */
    @Test
    void aRequestThatComesAgainDoesNotConvictItsParts() {
        for (int runner = 0; runner < 6; runner++) {
            runRequest(runner % 2 == 0 ? "self" : "other", runner, RunOutcome.LOST, REPEATED, FIRST, 3, 4);
        }
        assertFalse(isRequestQuarantined(REPEATED + 1, FIRST, 3, 4));
    }

    @Test
    void completeRunsOfOtherRequestsDoNotClearARequest() {
        for (int runner = 0; runner < 3; runner++) {
            runRequest(runner % 2 == 0 ? "self" : "other", runner, RunOutcome.LOST, REPEATED, FIRST, 3);
            runRequest("self", 7, RunOutcome.COMPLETE, REPEATED + 1, FIRST, 3);
        }
        assertTrue(isRequestQuarantined(REPEATED, FIRST, 3));
        assertFalse(isRequestQuarantined(REPEATED + 1, FIRST, 3));
    }

    @Test
    void aCompleteRunClearsTheRequest() {
        runRequest("self", 0, RunOutcome.LOST, REPEATED);
        runRequest("other", 1, RunOutcome.LOST, REPEATED);
        runRequest("self", 2, RunOutcome.COMPLETE, REPEATED);
        runRequest("other", 3, RunOutcome.LOST, REPEATED);
        assertFalse(isRequestQuarantined(REPEATED));
    }

    /** Callers may keep to one host. */
    @Test
    void lossesAtOneHostConvictIfOtherRunsOfThatHostAreComplete() {
        for (int runner = 0; runner < 3; runner++) {
            assertFalse(isRequestQuarantined(REPEATED));
            runRequest("other", 7, RunOutcome.COMPLETE, 100 + runner);
            runRequest("other", runner, RunOutcome.LOST, REPEATED);
        }
        assertTrue(isRequestQuarantined(REPEATED));
    }

    /** Connections may be lost while their runners live. */
    @Test
    void aRunnerThatCompletesALaterRunDidNotCrash() {
        for (int runner = 0; runner < 3; runner++) {
            runRequest(runner % 2 == 0 ? "self" : "other", runner, RunOutcome.LOST, REPEATED, FIRST, 3);
        }
        assertTrue(isRequestQuarantined(REPEATED));
        runRequest("third", 1, RunOutcome.COMPLETE, REPEATED + 1);
        assertFalse(isRequestQuarantined(REPEATED));
        assertEquals(
                List.of(new CrashSuspect.Request(REPEATED)), fleet.quarantine().takeNewlyCleared());
    }

    /** The same run may clear a request and show that its runner lives. */
    @Test
    void aRunnerThatCompletesALostRequestClearsBoth() {
        runRequest("self", 0, RunOutcome.LOST, REPEATED, FIRST, 3);
        runRequest("self", 0, RunOutcome.COMPLETE, REPEATED, FIRST, 3);
        assertFalse(fleet.quarantine().hasSuspects());
        runRequest("self", 0, RunOutcome.LOST, REPEATED + 1, FIRST, 3);
        runRequest("other", 0, RunOutcome.COMPLETE, REPEATED + 2);
        assertFalse(fleet.quarantine().hasSuspects());
    }

    @Test
    void aRunThatWasSentBeforeTheCrashDoesNotDisproveIt() {
        long running = send("self", 1, parts());
        for (int runner = 0; runner < 3; runner++) {
            runRequest(runner % 2 == 0 ? "self" : "other", runner, RunOutcome.LOST, REPEATED);
        }
        end("self", running, RunOutcome.COMPLETE, OptionalLong.of(5));
        assertTrue(isRequestQuarantined(REPEATED));
    }

    @Test
    void aRunnerThatRestartsUnderItsIdentifierDoesNotDisproveItsCrash() {
        for (int runner = 0; runner < 3; runner++) {
            runRequest(runner % 2 == 0 ? "self" : "other", runner, RunOutcome.LOST, REPEATED);
            fleet.removeRunner("r-" + runner, now);
            fleet.installRunner(Fixtures.runner("r-" + runner, Fixtures.ENGINES, "a", 0), now);
        }
        runRequest("third", 1, RunOutcome.COMPLETE, REPEATED + 1);
        assertTrue(isRequestQuarantined(REPEATED));
    }

    /** Other hosts may still report a quarantine that has just been cleared. */
    @Test
    void aClearedQuarantineIsNotAdoptedAgain() {
        crashThreeRunners();
        List<LoadEvent> report = List.copyOf(fleet.quarantine().own(now));
        FleetLoad started = new FleetLoad("started", Fixtures.WINDOW_NANOS);
        started.applySnapshot("self", report, now);
        assertEquals(List.of(), started.quarantine().own(now));
        assertEquals(1, started.quarantine().all(now).size());
        started.apply("self", new LoadEvent.Quarantined(new CrashSuspect.Part(CRASHING), 0), now);
        started.applySnapshot("other", report, now + SECOND);
        assertEquals(List.of(), started.quarantine().all(now + SECOND));
    }

    @Test
    void fingerprintsAreNeededOnlyWhileSomethingIsSuspected() {
        assertFalse(fleet.quarantine().hasSuspects());
        runRequest("self", 0, RunOutcome.LOST, REPEATED);
        assertTrue(fleet.quarantine().hasSuspects());
        runRequest("self", 1, RunOutcome.COMPLETE, REPEATED);
        assertFalse(fleet.quarantine().hasSuspects());
        runRequest("self", 2, RunOutcome.LOST, REPEATED);
        now += 11 * MINUTE;
        fleet.dropExpired(now);
        assertFalse(fleet.quarantine().hasSuspects());
        crashThreeRunners();
        now += 16 * MINUTE;
        fleet.dropExpired(now);
        assertFalse(fleet.quarantine().hasSuspects());
    }

    /** A host that was started or missed reports learns of the quarantine from the full reports of the others. */
    @Test
    void theQuarantineOfAnotherHostIsAdopted() {
        crashThreeRunners();
        List<LoadEvent> report = List.copyOf(fleet.quarantine().own(now));
        FleetLoad started = new FleetLoad("started", Fixtures.WINDOW_NANOS);
        started.applySnapshot("self", report, 0);
        assertTrue(started.quarantine()
                .find(parts(FIRST, CRASHING, 20), OptionalLong.empty(), 0)
                .isPresent());
        started.applySnapshot("self", report, MINUTE);
        assertTrue(started.quarantine()
                .find(parts(FIRST, CRASHING, 20), OptionalLong.empty(), 6 * MINUTE)
                .isEmpty());
    }
}
