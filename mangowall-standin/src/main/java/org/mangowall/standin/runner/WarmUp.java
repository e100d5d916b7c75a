package org.mangowall.standin.runner;

import java.time.Duration;
import java.time.Instant;

/** How many requests a runner bears, which grows evenly from its start until it is warm. */
final class WarmUp {

    private final RunnerStandInSettings settings;
    private final Instant startedAt;

    WarmUp(RunnerStandInSettings settings, Instant startedAt) {
        this.settings = settings;
        this.startedAt = startedAt;
    }

    Instant startedAt() {
        return startedAt;
    }

    boolean isWarm(Instant now) {
        return !now.isBefore(startedAt.plus(settings.warmUp()));
    }

    int bearableRequests(Instant now) {
        if (isWarm(now)) {
            return settings.slots();
        }
        double share = Duration.between(startedAt, now).toNanos()
                / (double) settings.warmUp().toNanos();
        int grown = (int) (Math.max(0, share) * (settings.slots() - settings.startLimit()));
        return settings.startLimit() + grown;
    }

    /** Whether so many requests at once make the runner fall over; a warm one lets them wait instead. */
    boolean fallsOverUnder(int requests, Instant now) {
        return !isWarm(now) && requests > bearableRequests(now) * settings.overloadTolerance();
    }
}
