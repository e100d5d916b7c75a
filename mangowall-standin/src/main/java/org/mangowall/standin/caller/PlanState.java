package org.mangowall.standin.caller;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;

/** The state of one plan; used by the load's duty, but for the tokens, which network threads add. */
final class PlanState {

    private static final int MOST_OPEN_CALLS = 2048;
    private static final long PAUSE_AFTER_REFUSAL_NANOS = TimeUnit.MILLISECONDS.toNanos(50);
    private static final double NANOS_PER_SECOND = 1e9;

    private final LoadPlan plan;
    private final String noncePrefix;
    private final LongAdder streamedTokens = new LongAdder();
    private final Tally tally = new Tally();
    private final Deque<Long> pausedUntilNanos = new ArrayDeque<>();
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

    Tally tally() {
        return tally;
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

    void callBegan() {
        openCalls++;
    }

    /** Notes an end; a closed loop goes on at once, or after a pause when the call was refused. */
    void callEnded(Verdict verdict, long nowNanos) {
        openCalls--;
        if (plan.isClosedLoop()) {
            pausedUntilNanos.addLast(verdict == Verdict.ANSWERED ? nowNanos : nowNanos + PAUSE_AFTER_REFUSAL_NANOS);
        }
    }

    /** How many calls are due to begin now. */
    int dueStarts(long nowNanos) {
        return plan.isClosedLoop() ? dueInClosedLoop(nowNanos) : dueInOpenLoop(nowNanos);
    }

    private int dueInClosedLoop(long nowNanos) {
        pausedUntilNanos.removeIf(until -> until - nowNanos <= 0);
        return plan.concurrency() - openCalls - pausedUntilNanos.size();
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
        int allowed = Math.min(due, MOST_OPEN_CALLS - openCalls);
        skippedStarts += due - allowed;
        return allowed;
    }

    static int mostOpenCalls(LoadPlan plan) {
        return plan.isClosedLoop() ? plan.concurrency() : MOST_OPEN_CALLS;
    }
}
