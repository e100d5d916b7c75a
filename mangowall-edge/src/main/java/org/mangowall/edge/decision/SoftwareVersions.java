package org.mangowall.edge.decision;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

/** The software versions at which a stream of a service that hasn't ended yet may have begun. */
final class SoftwareVersions {

    /** When a runner of each version was last removed. */
    private final Map<String, Long> removedAt = new HashMap<>();
    /** Since when this host knows the service's runners; what served before isn't known. */
    private OptionalLong knownSince = OptionalLong.empty();

    void runnerAdded(long now) {
        if (knownSince.isEmpty()) {
            knownSince = OptionalLong.of(now);
        }
    }

    void runnerRemoved(String version, long now) {
        removedAt.put(version, now);
    }

    /**
     * Returns the version at which any recent stream has begun, if there is only one.
     *
     * @param runners the runners that the service has now
     */
    Optional<String> only(List<RunnerState> runners, long now) {
        boolean isHistoryKnown = knownSince.isPresent() && now - knownSince.getAsLong() > StreamOrigins.RETENTION_NANOS;
        if (!isHistoryKnown) {
            return Optional.empty();
        }
        removedAt.values().removeIf(at -> now - at > StreamOrigins.RETENTION_NANOS);
        Set<String> versions = new HashSet<>(removedAt.keySet());
        runners.forEach(runner -> versions.add(runner.entry().softwareVersion()));
        return versions.size() == 1 ? Optional.of(versions.iterator().next()) : Optional.empty();
    }
}
