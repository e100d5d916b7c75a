package org.mangowall.policy.limit;

/** Slow start of one limit: it grows by a half each round that was borne, and falls back at signs of trouble. */
final class LimitGrowth {

    private static final long SHORTEST_ROUND_MILLISECONDS = 2_000;
    private static final int GROWTH_DIVISOR = 2;

    private final boolean fixed;
    private final ColdRamp ramp = new ColdRamp();
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
        ramp.begin(now);
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

    /** The runner's process is known to have been at work for long. */
    void knownWarm() {
        ramp.end();
    }

    /** The runner was found at work with so many requests of an earlier home, so it bears them. */
    void seenRunning(int requests) {
        limit = Math.max(limit, Math.min(slots, requests));
    }

    /** A request completed in time; {@code used} ran at that moment, itself included. */
    void completed(long now, int used) {
        completedInRound++;
        limitInUse |= used >= limit;
        if (completedInRound < limit || now - roundStart < SHORTEST_ROUND_MILLISECONDS) {
            return;
        }
        if (limitInUse && !lateInRound) {
            int grown = Math.min(slots, limit + Math.max(1, limit / GROWTH_DIVISOR));
            limit = Math.max(limit, Math.min(grown, ramp.cap(startLimit, slots, now)));
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

    /** Back to the start, for a runner that is probably cold. */
    void collapse(long now) {
        ramp.begin(now);
        backToStart(now);
    }

    /** Back to the start, for a runner of which nothing is known but that it is at work. */
    void backToStart(long now) {
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
