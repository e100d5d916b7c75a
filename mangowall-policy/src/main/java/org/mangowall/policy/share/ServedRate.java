package org.mangowall.policy.share;

/** The cost divided by weight served per second, measured over consecutive windows. */
final class ServedRate {

    private static final long WINDOW_MILLISECONDS = 4_000;
    private static final double MILLISECONDS_PER_SECOND = 1000;

    private long windowStart;
    private double windowCost;
    private double lastWindowRate;

    void add(double amount) {
        windowCost += amount;
    }

    double perSecond(long now) {
        long age = now - windowStart;
        if (age >= WINDOW_MILLISECONDS) {
            lastWindowRate = windowCost * MILLISECONDS_PER_SECOND / age;
            windowCost = 0;
            windowStart = now;
        }
        return lastWindowRate;
    }
}
