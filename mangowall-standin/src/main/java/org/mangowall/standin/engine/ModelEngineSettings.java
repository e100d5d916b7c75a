package org.mangowall.standin.engine;

import java.time.Duration;

import org.mangowall.standin.runner.RunnerStandInSettings;

/**
 * How a model engine stand-in behaves.
 *
 * @param runner how it takes load
 * @param timeToFirstToken the time from the start of the work to the first token
 * @param timeBetweenTokens the time between two tokens
 */
public record ModelEngineSettings(RunnerStandInSettings runner, Duration timeToFirstToken, Duration timeBetweenTokens) {

    /** An engine on a free loopback port. */
    public static ModelEngineSettings withDefaults() {
        return new ModelEngineSettings(
                RunnerStandInSettings.withDefaults(), Duration.ofMillis(30), Duration.ofMillis(20));
    }
}
