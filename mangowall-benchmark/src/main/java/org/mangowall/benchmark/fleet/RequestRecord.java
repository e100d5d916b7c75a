package org.mangowall.benchmark.fleet;

import org.mangowall.policy.RequestDescription;

/** State of one request in the simulation, including what the decision cores do not know. */
public final class RequestRecord {

    private final RequestDescription description;
    private final double cost;
    private final long arrivedAtMicroseconds;
    private int startCount;
    private int endCount;
    private boolean running;
    private boolean refusedAsNotRun;

    RequestRecord(RequestDescription description, double cost, long arrivedAtMicroseconds) {
        this.description = description;
        this.cost = cost;
        this.arrivedAtMicroseconds = arrivedAtMicroseconds;
    }

    /** Returns the request as its caller sent it. */
    public RequestDescription description() {
        return description;
    }

    /** Returns the actual cost, in cost units. */
    public double cost() {
        return cost;
    }

    /** Returns the time at which its caller sent it, in microseconds since the start of the simulation. */
    public long arrivedAtMicroseconds() {
        return arrivedAtMicroseconds;
    }

    /** Returns how often a runner started to run it. */
    public int startCount() {
        return startCount;
    }

    /** Returns how often its caller received an end. */
    public int endCount() {
        return endCount;
    }

    /** Whether its caller was told that the request was not run. */
    public boolean isRefusedAsNotRun() {
        return refusedAsNotRun;
    }

    boolean isRunning() {
        return running;
    }

    void start() {
        startCount++;
        running = true;
    }

    void stop() {
        running = false;
    }

    void end(boolean notRun) {
        endCount++;
        refusedAsNotRun = notRun;
    }
}
