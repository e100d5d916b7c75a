package org.mangowall.edge.overload;

import java.util.Map;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

class RefusedDemandEstimateTest {

    private static final long MILLI = 1_000_000L;

    private final RefusedDemandEstimate demand = new RefusedDemandEstimate(0);

    @Test
    void whileClosedAsMuchIsAskedForAsWhileOpen() {
        demand.recordArrival("large", 900, 10 * MILLI);
        demand.recordArrival("small", 100, 20 * MILLI);
        demand.entryClosed(50 * MILLI);
        demand.recordArrival("large", 5_000, 60 * MILLI);
        assertEquals(Map.of("large", 1_800L, "small", 200L), demand.entryOpened(150 * MILLI));
    }

    @Test
    void whatArrivedLongAgoDoesNotCount() {
        demand.recordArrival("earlier", 900, 0);
        demand.recordArrival("now", 100, 2_000 * MILLI);
        demand.entryClosed(2_100 * MILLI);
        assertEquals(Map.of("now", 100L), demand.entryOpened(2_200 * MILLI));
    }

    /** Requests that arrive while the gate is open very briefly have been waiting for it to open. */
    @Test
    void aShortOpeningTellsLittle() {
        demand.entryClosed(100 * MILLI);
        demand.entryOpened(200 * MILLI);
        demand.recordArrival("large", 1_000, 201 * MILLI);
        demand.entryClosed(201 * MILLI);
        assertEquals(Map.of("large", 5_000L), demand.entryOpened(301 * MILLI));
    }
}
