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
    private static final long KNOWN_WARM_MILLISECONDS = 120_000;
    private static final long FIRST_SUSPENSION_MILLISECONDS = 250;
    private static final long LARGEST_SUSPENSION_MILLISECONDS = 8_000;

    private final LimitGrowth growth;
    private final FirstProgressHistory firstProgress = new FirstProgressHistory();
    private final ForeignLoad foreign = new ForeignLoad();
    private long acquiredAt;
    private int running;
    private long startedAt;
    private long completedReported;
    private boolean reportSeen;
    private boolean contested;
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
        foreign.forget();
        growth.backToStart(now);
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
        contested = homeUncertain || now - acquiredAt < CONTEST_MILLISECONDS;
        return Math.max(0, foreign.room(growth.limit(), contested) - running);
    }

    private boolean awaitsFirstReport(long now) {
        return !reportSeen && now - acquiredAt < REPORT_WAIT_MILLISECONDS;
    }

    /** A request is being sent. */
    public void sent() {
        running++;
        foreign.observe(running);
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
        int used = running + foreign.estimate();
        switch (outcome) {
            case COMPLETED -> {
                suspension = FIRST_SUSPENSION_MILLISECONDS;
                growth.completed(now, used);
            }
            case REFUSED -> {
                growth.refused(now, used);
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
        foreign.observe(running);
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
        boolean first = !reportSeen;
        reportSeen = true;
        startedAt = report.startedAtMillis();
        completedReported = report.completed();
        if (restarted) {
            growth.collapse(now);
        } else if (first && now - startedAt > KNOWN_WARM_MILLISECONDS) {
            growth.knownWarm();
        }
        foreign.report(report.running(), running, contested);
        if (first) {
            growth.seenRunning(report.running());
        }
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
        return foreign.reported();
    }
}
