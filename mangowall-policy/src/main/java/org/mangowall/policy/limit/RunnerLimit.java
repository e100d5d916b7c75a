package org.mangowall.policy.limit;

import org.mangowall.policy.RunnerOutcome;
import org.mangowall.policy.RunnerReport;

/**
 * The number of requests that one runner may have at once, as its home sees it.
 *
 * <p>It starts small, grows only on evidence that the present limit is borne, and falls back to the start at each sign
 * of a restart. All times are milliseconds of the caller's clock.
 */
public final class RunnerLimit {

    private static final long REPORT_WAIT_MILLISECONDS = 1_000;
    private static final long CONTEST_MILLISECONDS = 10_000;
    private static final long FIRST_SUSPENSION_MILLISECONDS = 250;
    private static final long LARGEST_SUSPENSION_MILLISECONDS = 8_000;

    private final LimitGrowth growth;
    private final FirstProgressHistory firstProgress = new FirstProgressHistory();
    private long acquiredAt;
    private int running;
    private int mostRunningSinceReport;
    private int foreignRunning;
    private int reported;
    private int sentSinceReport;
    private long startedAt;
    private long completedReported;
    private boolean reportSeen;
    private long suspendedUntil;
    private long suspension = FIRST_SUSPENSION_MILLISECONDS;

    /**
     * Starts the limit of a runner of which this router has just become home.
     *
     * @param startLimit the requests that a freshly started runner bears
     * @param slots the requests that it bears when warm
     * @param fixed whether the limit is always the slots, whatever happens
     * @param now the time
     */
    public RunnerLimit(int startLimit, int slots, boolean fixed, long now) {
        this.growth = new LimitGrowth(startLimit, slots, fixed, now);
        this.acquiredAt = now;
    }

    /** This router has become home again, although requests of its own may still run there. */
    public void acquire(long now) {
        acquiredAt = now;
        reportSeen = false;
        growth.collapse(now);
    }

    /** Takes over changed settings. */
    public void configure(int startLimit, int slots) {
        growth.configure(startLimit, slots);
    }

    /**
     * The requests that may be sent now.
     *
     * @param homeUncertain whether another router may believe to be home too
     */
    public int free(long now, boolean homeUncertain) {
        if (growth.isFixed()) {
            return Math.max(0, growth.limit() - running);
        }
        if (now < suspendedUntil || awaitsFirstReport(now)) {
            return 0;
        }
        return Math.max(0, growth.limit() - used(homeUncertain || isContested(now)));
    }

    private boolean awaitsFirstReport(long now) {
        return !reportSeen && now - acquiredAt < REPORT_WAIT_MILLISECONDS;
    }

    private boolean isContested(long now) {
        return now - acquiredAt < CONTEST_MILLISECONDS;
    }

    private int used(boolean contested) {
        if (contested) {
            return Math.max(running, reported + sentSinceReport);
        }
        return running + foreignRunning;
    }

    /** A request is being sent. */
    public void sent() {
        running++;
        sentSinceReport++;
        mostRunningSinceReport = Math.max(mostRunningSinceReport, running);
    }

    /** The first progress of an answer came so many milliseconds after sending. */
    public void progressed(long now, long milliseconds) {
        if (firstProgress.record(milliseconds)) {
            return;
        }
        growth.sawLateAnswer();
        if (firstProgress.showsRestart()) {
            firstProgress.forgetLateAnswers();
            growth.collapse(now);
        }
    }

    /** A request that was being sent has ended. */
    public void ended(long now, RunnerOutcome outcome) {
        switch (outcome) {
            case COMPLETED -> {
                suspension = FIRST_SUSPENSION_MILLISECONDS;
                growth.completed(now, running + foreignRunning);
            }
            case REFUSED -> {
                growth.refused(now, running + foreignRunning);
                suspendedUntil = Math.max(suspendedUntil, now + FIRST_SUSPENSION_MILLISECONDS);
            }
            case NOT_SENT, BROKEN -> {
                growth.collapse(now);
                suspend(now);
            }
            case TIMED_OUT -> growth.collapse(now);
            default -> {
                // a caller's choice says nothing about the runner
            }
        }
        running = Math.max(0, running - 1);
    }

    private void suspend(long now) {
        if (now < suspendedUntil) {
            return;
        }
        suspendedUntil = now + suspension;
        suspension = Math.min(LARGEST_SUSPENSION_MILLISECONDS, suspension * 2);
    }

    /** The runner reported its load. */
    public void reported(RunnerReport report, long now) {
        boolean restarted =
                reportSeen && (report.startedAtMillis() != startedAt || report.completed() < completedReported);
        if (restarted) {
            growth.collapse(now);
        }
        startedAt = report.startedAtMillis();
        completedReported = report.completed();
        reported = report.running();
        foreignRunning = Math.max(0, report.running() - mostRunningSinceReport);
        mostRunningSinceReport = running;
        sentSinceReport = 0;
        reportSeen = true;
    }

    /** Begins slow start again, for a runner that comes back to work. */
    public void restartSlowly(long now) {
        growth.collapse(now);
    }

    /** The requests that it may have at once. */
    public int limit() {
        return growth.limit();
    }

    /** The requests of this home that run there. */
    public int running() {
        return running;
    }

    /** The requests that it last reported. */
    public int reported() {
        return reported;
    }
}
