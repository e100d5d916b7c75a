package org.mangowall.policy.limit;

/** Judges the time to the first progress of an answer against a runner's own history. */
final class FirstProgressHistory {

    private static final double SMOOTHING = 0.1;
    private static final double LATE_FACTOR = 3;
    private static final double LATE_FLOOR_MILLISECONDS = 100;
    private static final int LEARNING_SAMPLES = 8;
    private static final int LATE_ANSWERS_OF_A_RESTART = 3;

    private double mean;
    private int samples;
    private int lateInARow;

    /** Takes one time; returns whether it was in time. */
    boolean record(long milliseconds) {
        boolean late = samples >= LEARNING_SAMPLES && milliseconds > LATE_FLOOR_MILLISECONDS + LATE_FACTOR * mean;
        if (late) {
            lateInARow++;
            return false;
        }
        lateInARow = 0;
        samples++;
        double weight = Math.max(SMOOTHING, 1.0 / samples);
        mean += weight * (milliseconds - mean);
        return true;
    }

    /** Whether so many answers in a row were late that the runner has probably become cold. */
    boolean showsRestart() {
        return lateInARow >= LATE_ANSWERS_OF_A_RESTART;
    }

    /** Starts again after a restart of the runner was taken for granted. */
    void forgetLateAnswers() {
        lateInARow = 0;
    }
}
