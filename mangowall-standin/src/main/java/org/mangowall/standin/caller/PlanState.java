package org.mangowall.standin.caller;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;

/** The state of one plan; confined to the load generator's thread except for the tokens, which I/O threads count. */
final class PlanState {

    private static final int MAXIMUM_OPEN_CALLS = 2048;
    private static final long PAUSE_AFTER_FAILURE_NANOS = TimeUnit.MILLISECONDS.toNanos(50);
    private static final double NANOS_PER_SECOND = 1e9;

    private final LoadPlan plan;
    private final String noncePrefix;
    private final LongAdder streamedTokens = new LongAdder();
    private final AttemptStatistics statistics = new AttemptStatistics();
    private final Deque<Long> restartTimesNanos = new ArrayDeque<>();
    private long sequence;
    private int openCalls;
    private long nextStartNanos;
    private long skippedStarts;

    PlanState(LoadPlan plan, String noncePrefix) {
        this.plan = plan;
        this.noncePrefix = noncePrefix;
    }

    LoadPlan plan() {
        return plan;
    }

    LongAdder streamedTokens() {
        return streamedTokens;
    }

    AttemptStatistics statistics() {
        return statistics;
    }

    int openCalls() {
        return openCalls;
    }

    long skippedStarts() {
        return skippedStarts;
    }

    String nextNonce() {
        sequence++;
        return noncePrefix + "-" + sequence;
    }

    void callStarted() {
        openCalls++;
    }

    /** Records the end of a call; a closed loop continues immediately, or after a pause if the call failed. */
    void callEnded(Verdict verdict, long nowNanos) {
        openCalls--;
        if (plan.isClosedLoop()) {
            restartTimesNanos.addLast(verdict == Verdict.ANSWERED ? nowNanos : nowNanos + PAUSE_AFTER_FAILURE_NANOS);
        }
    }

    /** Returns the number of calls to start now. */
    int dueStarts(long nowNanos) {
        return plan.isClosedLoop() ? dueInClosedLoop(nowNanos) : dueInOpenLoop(nowNanos);
    }

    private int dueInClosedLoop(long nowNanos) {
        restartTimesNanos.removeIf(restartNanos -> restartNanos - nowNanos <= 0);
        return plan.concurrency() - openCalls - restartTimesNanos.size();
    }

    private int dueInOpenLoop(long nowNanos) {
        long periodNanos = (long) (NANOS_PER_SECOND / plan.callsPerSecond());
        if (nextStartNanos == 0) {
            nextStartNanos = nowNanos + Math.floorMod(noncePrefix.hashCode(), periodNanos);
        }
        int due = 0;
        while (nextStartNanos - nowNanos <= 0) {
            nextStartNanos += periodNanos;
            due++;
        }
        int allowed = Math.min(due, MAXIMUM_OPEN_CALLS - openCalls);
        skippedStarts += due - allowed;
        return allowed;
    }

    static int maximumOpenCalls(LoadPlan plan) {
        return plan.isClosedLoop() ? plan.concurrency() : MAXIMUM_OPEN_CALLS;
    }
}
