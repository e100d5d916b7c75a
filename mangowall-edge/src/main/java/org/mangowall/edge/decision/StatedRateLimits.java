package org.mangowall.edge.decision;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/** The rate limits that runners have stated, and the events that tell them to other hosts. */
public final class StatedRateLimits {

    /** Longer than the interval of full reports, so that a host reports each limit that it was told since the last. */
    private static final long REPORT_AGE_NANOS = 3_000_000_000L;

    private final Map<String, RunnerState> runners;

    /** Creates a view of the limits of these runners, by their identifiers. */
    StatedRateLimits(Map<String, RunnerState> runners) {
        this.runners = runners;
    }

    /**
     * Records what a runner states in a response to this host.
     *
     * @param stated requests per second from all hosts together; empty if the response states no limit
     * @param sentAt when the request was sent
     * @return whether the limit of the runner changed
     */
    public boolean recordResponse(String identifier, Optional<Double> stated, long sentAt, long now) {
        RunnerState runner = runners.get(identifier);
        return runner != null && runner.rateLimiter().recordResponse(stated, sentAt, now);
    }

    /** Adopts what a runner stated to another host. */
    void adopt(LoadEvent.RateLimitStated stated, long now) {
        RunnerState runner = runners.get(stated.runner());
        if (runner != null) {
            runner.rateLimiter().adopt(stated.requestsPerSecond(), now - stated.ageNanos(), now);
        }
    }

    /** Returns what runners stated to this host lately, also that a limit ended, for its full report. */
    public List<LoadEvent.RateLimitStated> recent(long now) {
        return select(limiter -> limiter.wasReceivedWithin(REPORT_AGE_NANOS, now), now);
    }

    /** Returns all limits in force, for a host that has just started. */
    public List<LoadEvent.RateLimitStated> inForce(long now) {
        return select(limiter -> limiter.limit().isPresent(), now);
    }

    private List<LoadEvent.RateLimitStated> select(Predicate<StatedRateLimiter> isIncluded, long now) {
        List<LoadEvent.RateLimitStated> selected = new ArrayList<>();
        runners.forEach((identifier, runner) -> {
            StatedRateLimiter limiter = runner.rateLimiter();
            if (isIncluded.test(limiter)) {
                selected.add(new LoadEvent.RateLimitStated(identifier, limiter.limit(), now - limiter.statedAt()));
            }
        });
        return selected;
    }
}
