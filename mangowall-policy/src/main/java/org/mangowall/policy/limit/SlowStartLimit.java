package org.mangowall.policy.limit;

/** Limit with slow start: grows by half after each round without late answers, and drops on refusals and restarts. */
final class SlowStartLimit {

    private static final long MIN_ROUND_MILLISECONDS = 2_000;
    private static final int GROWTH_DIVISOR = 2;

    private final boolean fixed;
    private final WarmUpRamp ramp = new WarmUpRamp();
    private int startLimit;
    private int slots;
    private int limit;
    private int completedInRound;
    private boolean limitInUse;
    private boolean lateInRound;
    private long roundStart;

    SlowStartLimit(int startLimit, int slots, boolean fixed, long now) {
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

    /** Ends the warm-up ramp, as the runner's process has been running for long. */
    void markWarm() {
        ramp.end();
    }

    /** Raises the limit to the requests of an earlier home that the runner runs, as it evidently sustains them. */
    void raiseToRunning(int requests) {
        limit = Math.max(limit, Math.min(slots, requests));
    }

    /** Records a completed request; {@code used} requests ran at that moment, including this one. */
    void recordCompletion(long now, int used) {
        completedInRound++;
        limitInUse |= used >= limit;
        if (completedInRound < limit || now - roundStart < MIN_ROUND_MILLISECONDS) {
            return;
        }
        if (limitInUse && !lateInRound) {
            int grown = Math.min(slots, limit + Math.max(1, limit / GROWTH_DIVISOR));
            limit = Math.max(limit, Math.min(grown, ramp.cap(startLimit, slots, now)));
        }
        startRound(now);
    }

    void recordLateAnswer() {
        lateInRound = true;
    }

    /** Lowers the limit after the runner refused a request while it had {@code used} requests, including this one. */
    void recordRefusal(long now, int used) {
        if (fixed) {
            return;
        }
        limit = Math.max(1, Math.min(limit, used - 1));
        startRound(now);
    }

    /** Returns to the start limit and starts the warm-up ramp, for a runner that is probably cold. */
    void resetCold(long now) {
        ramp.begin(now);
        resetToStartLimit(now);
    }

    /** Returns to the start limit, for a runner that is up but whose capacity is unknown. */
    void resetToStartLimit(long now) {
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
