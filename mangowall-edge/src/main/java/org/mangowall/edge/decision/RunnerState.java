package org.mangowall.edge.decision;

import org.mangowall.edge.model.EngineTraits;
import org.mangowall.edge.model.RunnerEntry;

/** What this host believes of one runner. */
final class RunnerState {

    /** A part of the memory is taken by running requests, so less than all is left for kept parts. */
    private static final double KEPT_SHARE_OF_MEMORY = 0.7;

    private static final double SLOWNESS_WEIGHT = 0.1;
    private static final double LEAST_SLOWNESS = 0.7;
    private static final double MOST_SLOWNESS = 20;

    private final RunnerHealth health = new RunnerHealth();
    private final ColdPace coldPace = new ColdPace();
    private RunnerEntry entry;
    private final PartCache cache;
    private int running;
    private long unreadTokens;
    private long memoryTokens;
    private double slowness = 1;

    RunnerState(RunnerEntry entry, EngineTraits traits) {
        this.entry = entry;
        this.cache = new PartCache(cacheTokens(traits));
    }

    boolean hasCacheOf(EngineTraits traits) {
        return cache.capacityTokens() == cacheTokens(traits);
    }

    private static long cacheTokens(EngineTraits traits) {
        return traits == null ? 0 : (long) (traits.memoryTokens() * KEPT_SHARE_OF_MEMORY);
    }

    RunnerEntry entry() {
        return entry;
    }

    void replaceEntry(RunnerEntry other) {
        entry = other;
    }

    RunnerHealth health() {
        return health;
    }

    ColdPace coldPace() {
        return coldPace;
    }

    PartCache cache() {
        return cache;
    }

    int running() {
        return running;
    }

    long unreadTokens() {
        return unreadTokens;
    }

    long memoryTokens() {
        return memoryTokens;
    }

    double slowness() {
        return slowness;
    }

    void observeSpeed(double observedAgainstPredicted) {
        double bounded = Math.clamp(observedAgainstPredicted * slowness, LEAST_SLOWNESS, MOST_SLOWNESS);
        slowness = (1 - SLOWNESS_WEIGHT) * slowness + SLOWNESS_WEIGHT * bounded;
    }

    void begin(Work work) {
        running += 1;
        unreadTokens += work.sent().unreadTokens();
        memoryTokens += work.sent().memoryTokens();
        cache.reading(work.sent().parts());
    }

    void promptRead(Work work) {
        unreadTokens -= work.sent().unreadTokens();
        cache.read(work.sent().parts());
    }

    void end(Work work) {
        running -= 1;
        memoryTokens -= work.sent().memoryTokens();
        if (!work.hasBegun()) {
            unreadTokens -= work.sent().unreadTokens();
        }
    }
}
