package org.mangowall.benchmark.fleet;

import java.util.LinkedHashMap;
import java.util.Map;

import org.mangowall.inventory.Runner;
import org.mangowall.kernel.name.RequestIdentifier;
import org.mangowall.kernel.name.RouterName;
import org.mangowall.policy.RunnerReport;

/** A runner whose capacity grows while it warms up, and which crashes if it is overloaded before it is warm. */
public final class SimulatedRunner {

    private static final double OVERLOAD_TOLERANCE = 1.5;
    private static final long MICROSECONDS_PER_MILLISECOND = 1_000;

    private final Runner runner;
    private final int startLimit;
    private final long warmUpMicroseconds;
    private final Map<RequestIdentifier, Work> runningWork = new LinkedHashMap<>();
    private long startedAtMicroseconds;
    private long downUntilMicroseconds;
    private long completed;
    private int overloads;
    private int crashes;

    SimulatedRunner(Runner runner, int startLimit, long warmUpMicroseconds) {
        this.runner = runner;
        this.startLimit = startLimit;
        this.warmUpMicroseconds = warmUpMicroseconds;
        this.startedAtMicroseconds = -warmUpMicroseconds;
    }

    /** A running request. */
    record Work(
            RequestRecord request,
            RouterName home,
            long homeIncarnation,
            long startedAtMicroseconds,
            long durationMicroseconds) {

        double served(long nowMicroseconds) {
            double share = durationMicroseconds == 0
                    ? 1
                    : Math.min(1, (double) (nowMicroseconds - startedAtMicroseconds) / durationMicroseconds);
            return request.cost() * share;
        }
    }

    Runner runner() {
        return runner;
    }

    Map<RequestIdentifier, Work> runningWork() {
        return runningWork;
    }

    boolean isDown(long nowMicroseconds) {
        return nowMicroseconds < downUntilMicroseconds;
    }

    /** Resets the warm-up without notice; running requests continue. */
    void becomeCold(long nowMicroseconds) {
        startedAtMicroseconds = nowMicroseconds;
        completed = 0;
    }

    /** Crashes: drops all running requests, is down for the pause and restarts cold. */
    void crash(long nowMicroseconds, long pauseMicroseconds) {
        runningWork.clear();
        downUntilMicroseconds = nowMicroseconds + pauseMicroseconds;
        startedAtMicroseconds = downUntilMicroseconds;
        completed = 0;
        crashes++;
    }

    int capacity(long nowMicroseconds) {
        long ageMicroseconds = nowMicroseconds - startedAtMicroseconds;
        if (ageMicroseconds >= warmUpMicroseconds) {
            return runner.slots();
        }
        return startLimit
                + (int) ((double) Math.max(0, ageMicroseconds) / warmUpMicroseconds * (runner.slots() - startLimit));
    }

    /** Starts one more request; returns whether the runner crashes from overload. */
    boolean startAndDetectCrash(Work work, long nowMicroseconds) {
        runningWork.put(work.request().description().identifier(), work);
        boolean overloaded = runningWork.size() > capacity(nowMicroseconds);
        overloads += overloaded ? 1 : 0;
        return overloaded
                && nowMicroseconds - startedAtMicroseconds < warmUpMicroseconds
                && runningWork.size() > OVERLOAD_TOLERANCE * capacity(nowMicroseconds);
    }

    void complete(RequestIdentifier identifier) {
        runningWork.remove(identifier);
        completed++;
    }

    RunnerReport report() {
        return new RunnerReport(
                runner.name(), startedAtMicroseconds / MICROSECONDS_PER_MILLISECOND, runningWork.size(), completed);
    }

    /** Returns the number of requests that it received beyond its capacity. */
    public int overloads() {
        return overloads;
    }

    /** Returns the number of crashes. */
    public int crashes() {
        return crashes;
    }
}
