package org.mangowall.policy.limit;

import org.mangowall.policy.RunnerOutcome;
import org.mangowall.policy.RunnerReport;

/**
 * Concurrency limit of one runner, kept by its home.
 *
 * <p>It starts small, grows only while the runner sustains the current limit, and returns to the start limit at each
 * sign of a restart. All times are milliseconds of the caller's clock.
 */
public final class RunnerLimit {

    private static final long FIRST_REPORT_TIMEOUT_MILLISECONDS = 1_000;
    private static final long HANDOVER_MILLISECONDS = 10_000;
    private static final long WARM_AFTER_MILLISECONDS = 120_000;
    private static final long MIN_SUSPENSION_MILLISECONDS = 250;
    private static final long MAX_SUSPENSION_MILLISECONDS = 8_000;

    private final SlowStartLimit slowStart;
    private final FirstProgressHistory firstProgress = new FirstProgressHistory();
    private final OtherHomesLoad otherHomes = new OtherHomesLoad();
    private long homeSinceMillis;
    private int running;
    private long startedAtMillis;
    private long lastCompleted;
    private boolean hasReport;
    private boolean mayBeShared;
    private long suspendedUntilMillis;
    private long suspensionMillis = MIN_SUSPENSION_MILLISECONDS;

    /**
     * Creates the limit of a runner whose home this router has just become.
     *
     * @param startLimit the concurrent requests that a freshly started runner sustains
     * @param slots the concurrent requests that it sustains when warm
     * @param fixed whether the limit always equals the slots
     * @param now the current time
     */
    public RunnerLimit(int startLimit, int slots, boolean fixed, long now) {
        this.slowStart = new SlowStartLimit(startLimit, slots, fixed, now);
        this.homeSinceMillis = now;
    }

    /** Resets the limit after this router became home again; requests it sent earlier may still run. */
    public void resumeAsHome(long now) {
        homeSinceMillis = now;
        hasReport = false;
        otherHomes.reset();
        slowStart.resetToStartLimit(now);
    }

    /** Applies changed settings. */
    public void configure(int startLimit, int slots) {
        slowStart.configure(startLimit, slots);
    }

    /**
     * The number of requests that may be sent now.
     *
     * @param isHomeUncertain whether another router may also act as home of the runner
     */
    public int freeSlots(long now, boolean isHomeUncertain) {
        if (slowStart.isFixed()) {
            return Math.max(0, slowStart.limit() - running);
        }
        if (now < suspendedUntilMillis || awaitsFirstReport(now)) {
            return 0;
        }
        mayBeShared = isHomeUncertain || now - homeSinceMillis < HANDOVER_MILLISECONDS;
        return Math.max(0, otherHomes.allowedOwn(slowStart.limit(), mayBeShared) - running);
    }

    private boolean awaitsFirstReport(long now) {
        return !hasReport && now - homeSinceMillis < FIRST_REPORT_TIMEOUT_MILLISECONDS;
    }

    /** Records that a request is being sent. */
    public void recordSent() {
        running++;
        otherHomes.recordOwn(running);
    }

    /** Records the time in milliseconds from sending a request to the first progress of its answer. */
    public void recordFirstProgress(long now, long milliseconds) {
        if (firstProgress.record(milliseconds)) {
            return;
        }
        slowStart.recordLateAnswer();
        if (firstProgress.indicatesRestart()) {
            firstProgress.resetLateAnswers();
            slowStart.resetCold(now);
        }
    }

    /** Records the end of an attempt. */
    public void recordEnd(long now, RunnerOutcome outcome) {
        int used = running + otherHomes.estimate();
        switch (outcome) {
            case COMPLETED -> {
                suspensionMillis = MIN_SUSPENSION_MILLISECONDS;
                slowStart.recordCompletion(now, used);
            }
            case REFUSED -> {
                slowStart.recordRefusal(now, used);
                suspendedUntilMillis = Math.max(suspendedUntilMillis, now + MIN_SUSPENSION_MILLISECONDS);
            }
            case NOT_SENT, BROKEN -> {
                slowStart.resetCold(now);
                suspend(now);
            }
            case TIMED_OUT -> slowStart.resetCold(now);
            default -> {
                // a cancellation says nothing about the runner
            }
        }
        running = Math.max(0, running - 1);
        otherHomes.recordOwn(running);
    }

    private void suspend(long now) {
        if (now < suspendedUntilMillis) {
            return;
        }
        suspendedUntilMillis = now + suspensionMillis;
        suspensionMillis = Math.min(MAX_SUSPENSION_MILLISECONDS, suspensionMillis * 2);
    }

    /** Applies a load report of the runner. */
    public void applyReport(RunnerReport report, long now) {
        boolean hasRestarted =
                hasReport && (report.startedAtMillis() != startedAtMillis || report.completed() < lastCompleted);
        boolean isFirst = !hasReport;
        hasReport = true;
        startedAtMillis = report.startedAtMillis();
        lastCompleted = report.completed();
        if (hasRestarted) {
            slowStart.resetCold(now);
        } else if (isFirst && now - startedAtMillis > WARM_AFTER_MILLISECONDS) {
            slowStart.markWarm();
        }
        otherHomes.applyReport(report.running(), running, mayBeShared);
        if (isFirst) {
            slowStart.raiseToRunning(report.running());
        }
    }

    /** Restarts slow start, for a runner that is open again. */
    public void restartSlowStart(long now) {
        slowStart.resetCold(now);
    }

    /** The number of requests that the runner may have at once. */
    public int limit() {
        return slowStart.limit();
    }

    /** The number of requests of this home that it runs. */
    public int running() {
        return running;
    }

    /** The number of running requests in its last report. */
    public int lastReported() {
        return otherHomes.reported();
    }
}
