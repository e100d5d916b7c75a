package org.mangowall.edge.decision;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.mangowall.edge.model.EngineTraits;
import org.mangowall.edge.model.ServiceDescription;

/** What this host believes of one service. */
final class ServiceState {

    private static final double BASELINE_HALF_LIFE_NANOS = 10e9;
    private static final double DURATION_WEIGHT = 0.05;
    private static final double FIRST_PLAIN_MILLIS = 20;
    private static final double FIRST_STREAM_MILLIS = 1_000;
    /** The prior of the time to read a token, used until requests show it. */
    private static final double PRIOR_MILLIS_PER_TOKEN = 0.012;

    private final DecayingRate troubles = new DecayingRate(BASELINE_HALF_LIFE_NANOS);
    private final FirstTokenModel firstToken = new FirstTokenModel(PRIOR_MILLIS_PER_TOKEN);
    private final List<RunnerState> runners = new ArrayList<>();
    private Optional<ServiceDescription> description = Optional.empty();
    private double meanMillis;

    void describe(ServiceDescription newDescription) {
        if (description.isEmpty()) {
            meanMillis = newDescription.engine().isPresent() ? FIRST_STREAM_MILLIS : FIRST_PLAIN_MILLIS;
        }
        description = Optional.of(newDescription);
    }

    Optional<ServiceDescription> description() {
        return description;
    }

    Optional<EngineTraits> engine() {
        return description.flatMap(ServiceDescription::engine);
    }

    double coldRequestsPerSecond() {
        return description.map(ServiceDescription::coldRequestsPerSecond).orElse(0.0);
    }

    List<RunnerState> runners() {
        return runners;
    }

    FirstTokenModel firstToken() {
        return firstToken;
    }

    DecayingRate troubles() {
        return troubles;
    }

    void recordDuration(double millis) {
        meanMillis = (1 - DURATION_WEIGHT) * meanMillis + DURATION_WEIGHT * millis;
    }

    double meanMillis() {
        return meanMillis;
    }
}
