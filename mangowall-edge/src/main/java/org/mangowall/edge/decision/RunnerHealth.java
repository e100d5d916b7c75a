package org.mangowall.edge.decision;

/** What the outcomes of requests tell of a runner. */
final class RunnerHealth {

    private static final double TROUBLE_HALF_LIFE_NANOS = 3e9;
    private static final long FIRST_PAUSE_NANOS = 200_000_000L;
    private static final long LONGEST_PAUSE_NANOS = 2_000_000_000L;
    private static final long SHED_PAUSE_NANOS = 100_000_000L;

    private final DecayingRate troubles = new DecayingRate(TROUBLE_HALF_LIFE_NANOS);
    private int unreachableInRow;
    private long pausedUntil = Long.MIN_VALUE;

    /** The runner answered, well or not. */
    void answered(boolean isTrouble, long now) {
        unreachableInRow = 0;
        troubles.record(isTrouble, now);
    }

    /** The runner turned a request away; it has no room just now. */
    void shed(long now) {
        unreachableInRow = 0;
        troubles.record(true, now);
        pausedUntil = Math.max(pausedUntil, now + SHED_PAUSE_NANOS);
    }

    /** No connection could be made, or nothing came on one. */
    void unreachable(long now) {
        long pause = Math.min(LONGEST_PAUSE_NANOS, FIRST_PAUSE_NANOS << Math.min(unreachableInRow, 6));
        unreachableInRow += 1;
        troubles.record(true, now);
        pausedUntil = now + pause;
    }

    boolean wasUnreachable() {
        return unreachableInRow > 0;
    }

    boolean isPaused(long now) {
        return pausedUntil != Long.MIN_VALUE && now < pausedUntil;
    }

    double troubleShare(long now) {
        return troubles.share(now);
    }
}
