package org.mangowall.benchmark.fleet;

import org.mangowall.policy.RequestDescription;

/** What the simulation knows of one request, beyond what the decision cores may know. */
public final class RequestRecord {

    private final RequestDescription description;
    private final double cost;
    private final long arrivedAt;
    private int started;
    private int ended;
    private boolean running;
    private boolean refusedAsNotRun;

    RequestRecord(RequestDescription description, double cost, long arrivedAt) {
        this.description = description;
        this.cost = cost;
        this.arrivedAt = arrivedAt;
    }

    /** The request as its caller sent it. */
    public RequestDescription description() {
        return description;
    }

    /** What it costs. */
    public double cost() {
        return cost;
    }

    /** When its caller sent it, in microseconds. */
    public long arrivedAt() {
        return arrivedAt;
    }

    /** How often a runner began to work on it. */
    public int started() {
        return started;
    }

    /** How often its caller was told an end. */
    public int ended() {
        return ended;
    }

    /** Whether its caller was told that it did not run. */
    public boolean isRefusedAsNotRun() {
        return refusedAsNotRun;
    }

    boolean isRunning() {
        return running;
    }

    void start() {
        started++;
        running = true;
    }

    void stop() {
        running = false;
    }

    void end(boolean notRun) {
        ended++;
        refusedAsNotRun = notRun;
    }
}
