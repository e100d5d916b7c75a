package org.mangowall.policy.share;

/** The cost by weight served in a second, over windows of at least some seconds. */
final class ServedRate {

    private static final long WINDOW_MILLISECONDS = 4_000;
    private static final double MILLISECONDS_PER_SECOND = 1000;

    private long windowStart;
    private double inWindow;
    private double previous;

    void add(double amount) {
        inWindow += amount;
    }

    double perSecond(long now) {
        long age = now - windowStart;
        if (age >= WINDOW_MILLISECONDS) {
            previous = inWindow * MILLISECONDS_PER_SECOND / age;
            inWindow = 0;
            windowStart = now;
        }
        return previous;
    }
}
