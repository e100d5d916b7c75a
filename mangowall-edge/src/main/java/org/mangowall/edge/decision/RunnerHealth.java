package org.mangowall.edge.decision;

/** A runner's recent failure ratio and its back-off after rejections and connection failures. */
final class RunnerHealth {

    private static final double FAILURE_HALF_LIFE_NANOS = 3e9;
    private static final long INITIAL_PAUSE_NANOS = 200_000_000L;
    private static final long MAX_PAUSE_NANOS = 2_000_000_000L;
    private static final long REJECTION_PAUSE_NANOS = 100_000_000L;
    /** Bounds the pause that a runner may ask for. */
    private static final long MAX_REQUESTED_PAUSE_NANOS = 3_600_000_000_000L;

    private final DecayingFailureRatio failures = new DecayingFailureRatio(FAILURE_HALF_LIFE_NANOS);
    private int consecutiveUnreachable;
    private long pausedUntil = Long.MIN_VALUE;

    /** Records a response of the runner, and whether it counts as a failure. */
    void recordResponse(boolean isFailure, long now) {
        consecutiveUnreachable = 0;
        failures.record(isFailure, now);
    }

    /**
     * Records that the runner rejected a request because it is overloaded; pauses it briefly.
     *
     * @param requestedPauseNanos how long the runner asks this host to wait; 0 if it doesn't
     */
    void recordRejection(long requestedPauseNanos, long now) {
        consecutiveUnreachable = 0;
        failures.record(true, now);
        long pause = Math.clamp(requestedPauseNanos, REJECTION_PAUSE_NANOS, MAX_REQUESTED_PAUSE_NANOS);
        pausedUntil = Math.max(pausedUntil, now + pause);
    }

    /** Records that the runner couldn't be reached; the pause doubles with each consecutive time. */
    void recordUnreachable(long now) {
        long pause = Math.min(MAX_PAUSE_NANOS, INITIAL_PAUSE_NANOS << Math.min(consecutiveUnreachable, 6));
        consecutiveUnreachable += 1;
        failures.record(true, now);
        pausedUntil = Math.max(pausedUntil, now + pause);
    }

    boolean wasUnreachable() {
        return consecutiveUnreachable > 0;
    }

    boolean isPaused(long now) {
        return pausedUntil != Long.MIN_VALUE && now < pausedUntil;
    }

    /** How much longer the runner is paused, in nanoseconds; 0 if it isn't. */
    long pauseNanos(long now) {
        return isPaused(now) ? pausedUntil - now : 0;
    }

    double failureRatio(long now) {
        return failures.failureRatio(now);
    }
}
