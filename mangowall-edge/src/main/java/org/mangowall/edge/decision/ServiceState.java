package org.mangowall.edge.decision;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.mangowall.edge.model.EngineTraits;
import org.mangowall.edge.model.ServiceDescription;

/** This host's estimate of the state of one service, over all its runners. */
final class ServiceState {

    /** Longer than a runner's half-life: the service's ratio is the baseline for the ratios of its runners. */
    private static final double FAILURE_HALF_LIFE_NANOS = 10e9;

    private static final double DURATION_WEIGHT = 0.05;
    private static final double INITIAL_PLAIN_MILLIS = 20;
    private static final double INITIAL_STREAM_MILLIS = 1_000;
    /** Prior time to process a prompt token, used until there are measurements. */
    private static final double PRIOR_MILLIS_PER_TOKEN = 0.012;

    private final DecayingFailureRatio failures = new DecayingFailureRatio(FAILURE_HALF_LIFE_NANOS);
    private final FirstTokenModel firstToken = new FirstTokenModel(PRIOR_MILLIS_PER_TOKEN);
    private final PromptReaders promptReaders = new PromptReaders();
    private final List<RunnerState> runners = new ArrayList<>();
    private final SoftwareVersions softwareVersions = new SoftwareVersions();
    private Optional<ServiceDescription> description = Optional.empty();
    private double meanMillis;

    void describe(ServiceDescription newDescription, Optional<Duration> gapGoal) {
        if (description.isEmpty()) {
            meanMillis = newDescription.engine().isPresent() ? INITIAL_STREAM_MILLIS : INITIAL_PLAIN_MILLIS;
        }
        description = Optional.of(newDescription);
        boolean movesRuns = newDescription.engine().map(EngineTraits::movesRuns).orElse(false);
        promptReaders.setPauseGoalMillis(
                movesRuns ? gapGoal.map(Duration::toMillis).orElse(0L) : 0);
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

    PromptReaders promptReaders() {
        return promptReaders;
    }

    List<RunnerState> runners() {
        return runners;
    }

    void addRunner(RunnerState runner, long now) {
        runners.add(runner);
        softwareVersions.runnerAdded(now);
    }

    void removeRunner(RunnerState runner, long now) {
        runners.remove(runner);
        softwareVersions.runnerRemoved(runner.entry().softwareVersion(), now);
    }

    /** The software version at which any stream that hasn't ended has begun, if there is only one. */
    Optional<String> onlySoftwareVersion(long now) {
        return softwareVersions.only(runners, now);
    }

    FirstTokenModel firstToken() {
        return firstToken;
    }

    /** Records a prompt that any host sent to a runner. */
    void recordPrompt(int unreadTokens, long now) {
        promptReaders.recordSent(unreadTokens, firstToken.millisPerToken(), now);
    }

    DecayingFailureRatio failures() {
        return failures;
    }

    void recordDuration(double millis) {
        meanMillis = (1 - DURATION_WEIGHT) * meanMillis + DURATION_WEIGHT * millis;
    }

    double meanMillis() {
        return meanMillis;
    }
}
