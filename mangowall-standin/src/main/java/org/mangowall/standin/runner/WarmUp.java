package org.mangowall.standin.runner;

import java.time.Duration;
import java.time.Instant;

/** Computes a runner's capacity, which grows linearly from its start until it is warm. */
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

    int capacityRequests(Instant now) {
        if (isWarm(now)) {
            return settings.slots();
        }
        double progress = Duration.between(startedAt, now).toNanos()
                / (double) settings.warmUp().toNanos();
        int addedCapacity = (int) (Math.max(0, progress) * (settings.slots() - settings.startLimit()));
        return settings.startLimit() + addedCapacity;
    }

    /** Returns whether the concurrent requests crash the runner; a warm runner queues them instead. */
    boolean isOverloadedBy(int requests, Instant now) {
        return !isWarm(now) && requests > capacityRequests(now) * settings.overloadTolerance();
    }
}
