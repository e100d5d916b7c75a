package org.mangowall.benchmark.fleet;

import java.util.LinkedHashMap;
import java.util.Map;

import org.mangowall.inventory.Runner;
import org.mangowall.kernel.name.RequestIdentifier;
import org.mangowall.kernel.name.RouterName;
import org.mangowall.policy.RunnerReport;

/** A runner that bears little when cold, and falls over when a cold one gets clearly more than that. */
public final class SimulatedRunner {

    private static final double OVERLOAD_TOLERANCE = 1.5;
    private static final long MICROSECONDS_PER_MILLISECOND = 1_000;

    private final Runner runner;
    private final int startLimit;
    private final long warmUp;
    private final Map<RequestIdentifier, Work> working = new LinkedHashMap<>();
    private long startedAt;
    private long downUntil;
    private long completed;
    private int overloads;
    private int falls;

    SimulatedRunner(Runner runner, int startLimit, long warmUp) {
        this.runner = runner;
        this.startLimit = startLimit;
        this.warmUp = warmUp;
        this.startedAt = -warmUp;
    }

    /** One request that runs. */
    record Work(RequestRecord request, RouterName home, long homeIncarnation, long since, long duration) {

        double served(long now) {
            double share = duration == 0 ? 1 : Math.min(1, (double) (now - since) / duration);
            return request.cost() * share;
        }
    }

    Runner runner() {
        return runner;
    }

    Map<RequestIdentifier, Work> working() {
        return working;
    }

    boolean isDown(long now) {
        return now < downUntil;
    }

    /** Becomes cold without a warning; what runs goes on. */
    void becomeCold(long now) {
        startedAt = now;
        completed = 0;
    }

    /** Stops, is away for a while and comes back cold. */
    void fall(long now, long pause) {
        working.clear();
        downUntil = now + pause;
        startedAt = downUntil;
        completed = 0;
        falls++;
    }

    int bears(long now) {
        long age = now - startedAt;
        if (age >= warmUp) {
            return runner.slots();
        }
        return startLimit + (int) ((double) Math.max(0, age) / warmUp * (runner.slots() - startLimit));
    }

    /** Takes one more request; returns whether it falls over. */
    boolean takeFallsOver(Work work, long now) {
        working.put(work.request().description().identifier(), work);
        boolean overloaded = working.size() > bears(now);
        overloads += overloaded ? 1 : 0;
        return overloaded && now - startedAt < warmUp && working.size() > OVERLOAD_TOLERANCE * bears(now);
    }

    void complete(RequestIdentifier identifier) {
        working.remove(identifier);
        completed++;
    }

    RunnerReport report() {
        return new RunnerReport(runner.name(), startedAt / MICROSECONDS_PER_MILLISECOND, working.size(), completed);
    }

    /** How many requests were sent to it beyond what it bore. */
    public int overloads() {
        return overloads;
    }

    /** How often it fell over. */
    public int falls() {
        return falls;
    }
}
