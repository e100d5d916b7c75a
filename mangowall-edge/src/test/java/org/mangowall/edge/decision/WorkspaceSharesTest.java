package org.mangowall.edge.decision;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class WorkspaceSharesTest {

    private static final double UNLIMITED = Double.POSITIVE_INFINITY;

    private final WorkspaceShares shares = new WorkspaceShares(Fixtures.WINDOW_NANOS);

    @Test
    void aWorkspaceThatIsTurnedAwayKeepsItsClaim() {
        shares.record("large", 900, 0);
        shares.record("small", 100, 0);
        shares.recordTurnedAway("small", 700, 0);
        assertEquals(900 / 475.0, shares.usageOf("large", UNLIMITED, 0).ofCurrentShare(), 0.01);
        assertEquals(100 / 475.0, shares.usageOf("small", UNLIMITED, 0).ofCurrentShare(), 0.01);
    }

    @Test
    void aWorkspaceThatIsTurnedAwayInFullClaimsAShare() {
        shares.record("large", 900, 0);
        shares.recordTurnedAway("starved", 700, 0);
        assertTrue(shares.usageOf("large", UNLIMITED, 0).ofCurrentShare() > 2);
        assertEquals(0, shares.usageOf("starved", UNLIMITED, 0).ofCurrentShare());
    }

    /** A host that has just started may turn requests away before any run is known. */
    @Test
    void usageIsZeroWhileNothingRuns() {
        shares.recordTurnedAway("starved", 700, 0);
        assertEquals(new FairShareUsage(0, 0, 1), shares.usageOf("starved", UNLIMITED, 0));
    }

    @Test
    void claimsExpireWithTheWindow() {
        shares.recordTurnedAway("small", 700, 0);
        long later = 2 * Fixtures.WINDOW_NANOS;
        shares.record("large", 900, later);
        assertEquals(900 / 855.0, shares.usageOf("large", UNLIMITED, later).ofCurrentShare(), 0.01);
    }
}
