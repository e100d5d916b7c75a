package org.mangowall.edge.decision;

import org.mangowall.edge.model.StatedLoad;

/**
 * A runner's load as far as it states it, corrected by what is known of its requests since.
 *
 * <p>Load: a few runners on machines that they share with others. Their pace changes several times a second, and they
 * run requests of which this host hasn't heard yet. A statement is therefore compared with what was known when it was
 * made; the difference, and the difference of the pace from its mean, count less and less as the statement ages.
 */
final class LoadEstimate {

    /** Other hosts report the requests that a statement includes within about this time. */
    private static final double REQUESTS_HALF_LIFE_NANOS = 100e6;
    /** The pace changes several times a second. */
    private static final double PACE_HALF_LIFE_NANOS = 150e6;

    private static final double MEAN_PACE_WEIGHT = 0.1;
    /** A statement can't make a runner look emptier than this part of what is known to run there. */
    private static final double MIN_KNOWN_FRACTION = 0.5;

    private boolean hasStatement;
    private long statedAt;
    private int unknownRequests;
    private double lastPace = 1;
    private double meanPace = 1;

    /**
     * Records a statement; one that isn't plausible or older than the last is ignored.
     *
     * @param knownRequests the number of requests that were known to run when it arrived
     * @param madeAt when the runner made it
     */
    void record(StatedLoad stated, int knownRequests, long madeAt) {
        if (!stated.isPlausible() || hasStatement && madeAt < statedAt) {
            return;
        }
        meanPace = hasStatement ? (1 - MEAN_PACE_WEIGHT) * meanPace + MEAN_PACE_WEIGHT * stated.pace() : stated.pace();
        lastPace = stated.pace();
        unknownRequests = stated.running() + stated.waiting() - knownRequests;
        statedAt = madeAt;
        hasStatement = true;
    }

    /**
     * Returns the estimated number of requests that run or wait at the runner.
     *
     * @param knownRequests the number of requests that are known to run there
     */
    double requests(int knownRequests, long now) {
        double estimated = knownRequests + unknownRequests * remaining(REQUESTS_HALF_LIFE_NANOS, now);
        return Math.max(MIN_KNOWN_FRACTION * knownRequests, estimated);
    }

    /** Returns how long work takes relative to the usual time; 1 for a runner that states nothing. */
    double pace(long now) {
        return meanPace + (lastPace - meanPace) * remaining(PACE_HALF_LIFE_NANOS, now);
    }

    /** Returns the pace that was stated last, in which requests that complete now have run. */
    double lastPace() {
        return lastPace;
    }

    /** Returns the age of the last statement in nanoseconds; -1 without one. */
    long ageNanos(long now) {
        return hasStatement ? now - statedAt : -1;
    }

    private double remaining(double halfLifeNanos, long now) {
        return hasStatement ? Math.pow(0.5, Math.max(0, now - statedAt) / halfLifeNanos) : 0;
    }
}
