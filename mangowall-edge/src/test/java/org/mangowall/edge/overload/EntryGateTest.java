package org.mangowall.edge.overload;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Replays the load of a large workspace whose callers enter at one host, whose link they fill. */
class EntryGateTest {

    private static final long MILLI = 1_000_000L;
    private static final double BOUND_MILLIS = 150;
    private static final double GOAL_MILLIS = 600;
    /** Time for which the link is busy with a request. */
    private static final double LINK_MILLIS = 14;

    private static final double SERVICE_MILLIS = 2.5;
    private static final double REFUSAL_MILLIS = 0.6;
    private static final int SECONDS = 20;
    private static final int CHECK_MILLIS = 50;

    /** A link that sends the requests one after the other, and callers who send a refused request once more. */
    private static final class CrowdedLink {
        private final UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(11);
        private final EntryGate gate = new EntryGate(0);
        private double busyUntilMillis;
        private int withinGoal;
        private int longestClosedMillis;

        private void run(double requestsPerMilli, boolean isGated) {
            int closedMillis = 0;
            for (int now = 0; now < SECONDS * 1_000; now++) {
                if (isGated && now % CHECK_MILLIS == 0) {
                    gate.update(Math.max(0, busyUntilMillis - now), BOUND_MILLIS, now * MILLI);
                }
                closedMillis = gate.isOpen() ? 0 : closedMillis + 1;
                longestClosedMillis = Math.max(longestClosedMillis, closedMillis);
                if (gate.isOpen() && random.nextDouble() < requestsPerMilli) {
                    busyUntilMillis = Math.max(now, busyUntilMillis) + LINK_MILLIS;
                    withinGoal += busyUntilMillis - now <= GOAL_MILLIS ? 1 : 0;
                }
            }
        }

        private double usefulFraction() {
            return withinGoal * LINK_MILLIS / (SECONDS * 1_000);
        }
    }

    /** Twice the link's capacity: nearly all of the link carries requests that are in time. */
    @Test
    void whatTheLinkCarriesIsInTime() {
        CrowdedLink link = new CrowdedLink();
        link.run(2 / LINK_MILLIS, true);
        assertTrue(link.usefulFraction() >= 0.9, "useful fraction " + link.usefulFraction());
        CrowdedLink withoutGate = new CrowdedLink();
        withoutGate.run(2 / LINK_MILLIS, false);
        assertTrue(withoutGate.usefulFraction() < 0.1, "without a gate " + withoutGate.usefulFraction());
    }

    /** Callers who can use no other host are refused for at most a second. */
    @Test
    void aCrowdedHostOpensAtLeastOnceASecond() {
        CrowdedLink link = new CrowdedLink();
        link.busyUntilMillis = 10_000;
        link.run(0.5 / LINK_MILLIS, true);
        assertTrue(link.longestClosedMillis <= 1_000 + CHECK_MILLIS, "closed for " + link.longestClosedMillis);
    }

    @Test
    void anOrdinaryDelayClosesNothing() {
        EntryGate gate = new EntryGate(0);
        assertFalse(gate.update(BOUND_MILLIS, BOUND_MILLIS, 1_000 * MILLI));
        assertTrue(gate.isOpen());
    }

    /** The gate stays open long enough for the delay to be measured. */
    @Test
    void theGateDoesNotFlap() {
        EntryGate gate = new EntryGate(0);
        assertTrue(gate.update(2 * BOUND_MILLIS, BOUND_MILLIS, 1_000 * MILLI));
        assertTrue(gate.update(0, BOUND_MILLIS, 1_050 * MILLI));
        assertFalse(gate.update(2 * BOUND_MILLIS, BOUND_MILLIS, 1_100 * MILLI));
        assertTrue(gate.update(2 * BOUND_MILLIS, BOUND_MILLIS, 1_150 * MILLI));
    }

    /** Requests that wait for the processor close and open the gate without a minimum time in between. */
    @Test
    void aLongQueueClosesTheGateAtOnce() {
        EntryGate gate = new EntryGate(0);
        assertFalse(gate.update(100, 0, BOUND_MILLIS, 1_000 * MILLI));
        assertTrue(gate.update(101, 0, BOUND_MILLIS, 1_001 * MILLI));
        assertFalse(gate.update(51, 0, BOUND_MILLIS, 1_030 * MILLI));
        assertTrue(gate.update(49, 0, BOUND_MILLIS, 1_040 * MILLI));
        assertTrue(gate.update(101, 0, BOUND_MILLIS, 1_050 * MILLI));
    }

    /**
     * Twice what the processor can do arrives, and to read and refuse a request costs a quarter of serving it. Requests
     * are refused by the gate instead, so that most of the processor's time is spent on serving.
     */
    @Test
    void theProcessorIsSpentOnServing() {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(13);
        EntryGate gate = new EntryGate(0);
        double queuedMillis = 0;
        int served = 0;
        for (int now = 0; now < SECONDS * 1_000; now++) {
            gate.update(queuedMillis, 0, BOUND_MILLIS, now * MILLI);
            if (gate.isOpen() && random.nextDouble() < 0.8) {
                boolean isRefused = queuedMillis > GOAL_MILLIS / 2;
                queuedMillis += isRefused ? REFUSAL_MILLIS : SERVICE_MILLIS;
                served += isRefused ? 0 : 1;
            }
            queuedMillis = Math.max(0, queuedMillis - 1);
        }
        double useful = served * SERVICE_MILLIS / (SECONDS * 1_000);
        assertTrue(useful >= 0.9, "useful fraction " + useful);
    }
}
