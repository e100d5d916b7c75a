package org.mangowall.edge.decision;

import org.mangowall.edge.model.EngineTraits;
import org.mangowall.edge.model.RunnerEntry;

/** This host's estimate of the state of one runner. */
final class RunnerState {

    /** Fraction of the key-value cache left for cached parts; running requests occupy the rest. */
    private static final double CACHE_MEMORY_FRACTION = 0.7;

    private static final double SLOWNESS_WEIGHT = 0.1;
    private static final double MIN_SLOWNESS = 0.7;
    private static final double MAX_SLOWNESS = 20;

    private final RunnerHealth health = new RunnerHealth();
    private final ColdStartLimiter coldStartLimiter = new ColdStartLimiter();
    private final LoadEstimate loadEstimate = new LoadEstimate();
    private final StatedRateLimiter rateLimiter = new StatedRateLimiter();
    private RunnerEntry entry;
    private boolean isLeaving;
    private final PrefixCache cache;
    private int running;
    private long pendingPrefillTokens;
    /** Key-value cache that running requests will occupy in the end. */
    private long memoryTokens;
    /** Moving average of the observed time to first token relative to the service's model. */
    private double slowness = 1;

    RunnerState(RunnerEntry entry, EngineTraits traits) {
        this.entry = entry;
        this.cache = new PrefixCache(cacheTokens(traits));
    }

    boolean hasCacheSizeFor(EngineTraits traits) {
        return cache.capacityTokens() == cacheTokens(traits);
    }

    /** Adopts the size of the cache that a configuration states for the runner's engine. */
    void setEngine(EngineTraits traits) {
        cache.setCapacityTokens(cacheTokens(traits));
    }

    private static long cacheTokens(EngineTraits traits) {
        return traits == null ? 0 : (long) (traits.memoryTokens() * CACHE_MEMORY_FRACTION);
    }

    RunnerEntry entry() {
        return entry;
    }

    void replaceEntry(RunnerEntry other) {
        entry = other;
    }

    /** Whether this incarnation of the runner has said that it leaves. */
    boolean isLeaving() {
        return isLeaving;
    }

    void markLeaving() {
        isLeaving = true;
    }

    RunnerHealth health() {
        return health;
    }

    ColdStartLimiter coldStartLimiter() {
        return coldStartLimiter;
    }

    StatedRateLimiter rateLimiter() {
        return rateLimiter;
    }

    LoadEstimate loadEstimate() {
        return loadEstimate;
    }

    PrefixCache cache() {
        return cache;
    }

    int running() {
        return running;
    }

    long pendingPrefillTokens() {
        return pendingPrefillTokens;
    }

    long memoryTokens() {
        return memoryTokens;
    }

    double slowness() {
        return slowness;
    }

    void recordLatencyRatio(double observedToPredicted) {
        double bounded = Math.clamp(observedToPredicted * slowness, MIN_SLOWNESS, MAX_SLOWNESS);
        slowness = (1 - SLOWNESS_WEIGHT) * slowness + SLOWNESS_WEIGHT * bounded;
    }

    void begin(InFlightRequest request) {
        running += 1;
        pendingPrefillTokens += request.sent().prefillTokens();
        memoryTokens += request.sent().memoryTokens();
        cache.addPrompt(request.sent().parts());
    }

    void markPromptProcessed(InFlightRequest request) {
        pendingPrefillTokens -= request.sent().prefillTokens();
        cache.markProcessed(request.sent().parts());
    }

    void end(InFlightRequest request) {
        running -= 1;
        memoryTokens -= request.sent().memoryTokens();
        if (!request.hasResponseStarted()) {
            pendingPrefillTokens -= request.sent().prefillTokens();
        }
    }
}
