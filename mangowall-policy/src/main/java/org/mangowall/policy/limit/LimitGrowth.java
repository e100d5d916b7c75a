package org.mangowall.policy.limit;

/** Slow start of one limit: it grows by a half each round that was borne, and falls back at signs of trouble. */
final class LimitGrowth {

    private static final long SHORTEST_ROUND_MILLISECONDS = 2_000;
    private static final int GROWTH_DIVISOR = 2;

    private final boolean fixed;
    private int startLimit;
    private int slots;
    private int limit;
    private int completedInRound;
    private boolean limitInUse;
    private boolean lateInRound;
    private long roundStart;

    LimitGrowth(int startLimit, int slots, boolean fixed, long now) {
        this.fixed = fixed;
        this.startLimit = Math.max(1, Math.min(startLimit, slots));
        this.slots = Math.max(1, slots);
        this.limit = fixed ? this.slots : this.startLimit;
        this.roundStart = now;
    }

    void configure(int newStartLimit, int newSlots) {
        slots = Math.max(1, newSlots);
        startLimit = Math.max(1, Math.min(newStartLimit, slots));
        limit = fixed ? slots : Math.min(limit, slots);
    }

    int limit() {
        return limit;
    }

    boolean isFixed() {
        return fixed;
    }

    /** A request completed in time; {@code used} ran at that moment, itself included. */
    void completed(long now, int used) {
        completedInRound++;
        limitInUse |= used >= limit;
        if (completedInRound < limit || now - roundStart < SHORTEST_ROUND_MILLISECONDS) {
            return;
        }
        if (limitInUse && !lateInRound) {
            limit = Math.min(slots, limit + Math.max(1, limit / GROWTH_DIVISOR));
        }
        startRound(now);
    }

    void sawLateAnswer() {
        lateInRound = true;
    }

    /** The runner refused a request although {@code used} requests are all it had, itself included. */
    void refused(long now, int used) {
        if (fixed) {
            return;
        }
        limit = Math.max(1, Math.min(limit, used - 1));
        startRound(now);
    }

    void collapse(long now) {
        if (fixed) {
            return;
        }
        limit = Math.min(limit, startLimit);
        startRound(now);
    }

    private void startRound(long now) {
        completedInRound = 0;
        limitInUse = false;
        lateInRound = false;
        roundStart = now;
    }
}
