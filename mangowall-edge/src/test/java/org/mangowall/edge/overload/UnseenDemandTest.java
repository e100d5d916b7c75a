package org.mangowall.edge.overload;

import java.util.Map;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

class UnseenDemandTest {

    private static final long MILLI = 1_000_000L;

    private final UnseenDemand demand = new UnseenDemand(0);

    @Test
    void whileClosedAsMuchIsAskedForAsWhileOpen() {
        demand.arrived("large", 900, 10 * MILLI);
        demand.arrived("small", 100, 20 * MILLI);
        demand.closed(50 * MILLI);
        demand.arrived("large", 5_000, 60 * MILLI);
        assertEquals(Map.of("large", 1_800L, "small", 200L), demand.opened(150 * MILLI));
    }

    @Test
    void whatArrivedLongAgoDoesNotCount() {
        demand.arrived("earlier", 900, 0);
        demand.arrived("now", 100, 2_000 * MILLI);
        demand.closed(2_100 * MILLI);
        assertEquals(Map.of("now", 100L), demand.opened(2_200 * MILLI));
    }

    /** The gate opened and closed within a turn of the loop: what came was waiting for it. */
    @Test
    void aShortOpeningTellsLittle() {
        demand.closed(100 * MILLI);
        demand.opened(200 * MILLI);
        demand.arrived("large", 1_000, 201 * MILLI);
        demand.closed(201 * MILLI);
        assertEquals(Map.of("large", 5_000L), demand.opened(301 * MILLI));
    }
}
