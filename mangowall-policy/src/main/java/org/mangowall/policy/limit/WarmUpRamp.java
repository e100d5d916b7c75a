package org.mangowall.policy.limit;

/** Upper bound on the limit of a runner after a cold start; it rises linearly from the start limit to the slots. */
final class WarmUpRamp {

    private static final long MIN_DURATION_MILLISECONDS = 15_000;
    private static final long MAX_DURATION_MILLISECONDS = 120_000;

    private boolean cold;
    private long coldSinceMillis;
    private long durationMillis = MIN_DURATION_MILLISECONDS;

    /**
     * Starts the ramp of a runner that became cold. If it was still warming up, the duration doubles, except shortly
     * after the start of the ramp, as several signs of the same restart may follow each other.
     */
    void begin(long now) {
        boolean isWarmingUp = cold && now - coldSinceMillis < durationMillis;
        boolean isSameRestart = isWarmingUp && now - coldSinceMillis < MIN_DURATION_MILLISECONDS / 4;
        if (isWarmingUp && !isSameRestart) {
            durationMillis = Math.min(MAX_DURATION_MILLISECONDS, 2 * durationMillis);
        }
        cold = true;
        coldSinceMillis = now;
    }

    /** Ends the ramp of a runner that is known to be warm. */
    void end() {
        cold = false;
    }

    int cap(int startLimit, int slots, long now) {
        long elapsedMillis = now - coldSinceMillis;
        if (!cold || elapsedMillis >= durationMillis) {
            cold = false;
            return slots;
        }
        return startLimit + (int) ((double) elapsedMillis / durationMillis * (slots - startLimit));
    }
}
