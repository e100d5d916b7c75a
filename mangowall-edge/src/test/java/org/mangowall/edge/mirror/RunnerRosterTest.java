package org.mangowall.edge.mirror;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.mangowall.edge.decision.FleetLoad;
import org.mangowall.edge.model.RunnerEntry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class RunnerRosterTest {

    private static final long SECOND = 1_000_000_000L;

    private final FleetLoad fleet = new FleetLoad("host", 4 * SECOND);
    private final StoreAvailability contact = new StoreAvailability(0);
    private final List<String> removed = new ArrayList<>();
    private final RunnerRegistry roster = new RunnerRegistry(fleet, contact, removed::add);

    private static RunnerEntry entry() {
        return new RunnerEntry("r", 0, "s", new InetSocketAddress("127.0.0.1", 1), "a", 6, false, Duration.ZERO);
    }

    @BeforeEach
    void list() {
        roster.listed("r", Optional.of(entry()), 0);
    }

    @Test
    void aRunnerThatLeavesIsGoneAtOnce() {
        contact.answered(SECOND);
        roster.unlisted("r", SECOND);
        assertEquals(List.of("r"), removed);
    }

    @Test
    void anEntryThatLapsedWhileTheStoreWasAwayIsGivenTimeToComeBack() {
        contact.failed();
        contact.answered(5 * SECOND);
        roster.unlisted("r", 5 * SECOND);
        roster.removeOverdue(6 * SECOND);
        assertTrue(removed.isEmpty());
        roster.listed("r", Optional.of(entry()), 7 * SECOND);
        roster.removeOverdue(9 * SECOND);
        assertTrue(removed.isEmpty());
    }

    @Test
    void anEntryThatDoesNotComeBackIsGone() {
        contact.failed();
        contact.answered(5 * SECOND);
        roster.unlisted("r", 5 * SECOND);
        roster.removeOverdue(8 * SECOND);
        assertEquals(List.of("r"), removed);
    }

    /** The store turned this host away while it answered others: an entry that goes then has not lapsed. */
    @Test
    void aRunnerThatLeavesAfterThisHostAloneWasTurnedAwayIsGoneAtOnce() {
        contact.failed();
        for (long second = 1; second <= 9; second++) {
            contact.answeredOther(second * SECOND);
        }
        contact.answered(9 * SECOND + SECOND / 2);
        roster.unlisted("r", 9 * SECOND + SECOND / 2);
        assertEquals(List.of("r"), removed);
    }

    /** Nothing changes in the store for long, and this host hears of it from the others only. */
    @Test
    void aRunnerThatLeavesAfterAQuietTimeIsGoneAtOnce() {
        for (long second = 1; second <= 20; second++) {
            contact.answeredOther(second * SECOND);
        }
        roster.unlisted("r", 20 * SECOND + SECOND / 2);
        assertEquals(List.of("r"), removed);
    }

    /** News of an old answer, heard late, doesn't look like a return. */
    @Test
    void anOldAnswerOfAnotherHostIsNoReturn() {
        contact.failed();
        contact.answered(5 * SECOND);
        long regained = contact.sinceRegained(9 * SECOND);
        contact.answeredOther(3 * SECOND);
        assertEquals(regained, contact.sinceRegained(9 * SECOND));
    }

    /** Watches of an idle store take seconds by themselves; that is no outage. */
    @Test
    void aQuietStoreIsNotAway() {
        contact.answered(4 * SECOND - 1);
        roster.unlisted("r", 4 * SECOND);
        assertEquals(List.of("r"), removed);
    }
}
