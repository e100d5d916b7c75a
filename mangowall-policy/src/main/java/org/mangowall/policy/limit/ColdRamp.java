package org.mangowall.policy.limit;

/** The most that a runner that became cold a while ago should be trusted with, whatever the evidence says. */
final class ColdRamp {

    private static final long SHORTEST_MILLISECONDS = 15_000;
    private static final long LONGEST_MILLISECONDS = 120_000;

    private boolean cold;
    private long coldSince;
    private long duration = SHORTEST_MILLISECONDS;

    /** The runner has become cold; one that does so while it warms up is given more time. */
    void begin(long now) {
        boolean warmingUp = cold && now - coldSince < duration;
        boolean sameSign = warmingUp && now - coldSince < SHORTEST_MILLISECONDS / 4;
        if (warmingUp && !sameSign) {
            duration = Math.min(LONGEST_MILLISECONDS, 2 * duration);
        }
        cold = true;
        coldSince = now;
    }

    /** The runner is known to have been at work for long. */
    void end() {
        cold = false;
    }

    int cap(int startLimit, int slots, long now) {
        long age = now - coldSince;
        if (!cold || age >= duration) {
            cold = false;
            return slots;
        }
        return startLimit + (int) ((double) age / duration * (slots - startLimit));
    }
}
