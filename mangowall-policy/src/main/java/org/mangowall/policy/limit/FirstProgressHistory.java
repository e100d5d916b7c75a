package org.mangowall.policy.limit;

/** Detects late answers by comparing the time to first progress with a runner's moving average. */
final class FirstProgressHistory {

    private static final double SMOOTHING_FACTOR = 0.1;
    private static final double LATE_FACTOR = 3;
    private static final double LATE_OFFSET_MILLISECONDS = 100;
    private static final int MIN_SAMPLES = 8;
    private static final int LATE_ANSWERS_INDICATING_RESTART = 3;

    private double meanMillis;
    private int samples;
    private int lateInARow;

    /** Records one time to first progress; returns false if it was late. */
    boolean record(long milliseconds) {
        boolean isLate = samples >= MIN_SAMPLES && milliseconds > LATE_OFFSET_MILLISECONDS + LATE_FACTOR * meanMillis;
        if (isLate) {
            lateInARow++;
            return false;
        }
        lateInARow = 0;
        samples++;
        double weight = Math.max(SMOOTHING_FACTOR, 1.0 / samples);
        meanMillis += weight * (milliseconds - meanMillis);
        return true;
    }

    /** Whether enough consecutive answers were late to assume that the runner has become cold. */
    boolean indicatesRestart() {
        return lateInARow >= LATE_ANSWERS_INDICATING_RESTART;
    }

    /** Resets the count of late answers, after a restart of the runner was assumed. */
    void resetLateAnswers() {
        lateInARow = 0;
    }
}
