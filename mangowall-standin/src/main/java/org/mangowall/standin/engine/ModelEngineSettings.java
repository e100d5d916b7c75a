package org.mangowall.standin.engine;

import java.time.Duration;

import org.mangowall.standin.runner.RunnerStandInSettings;

/**
 * Load behaviour and token timing of a model engine stand-in.
 *
 * @param runner the address, capacity and overload behaviour
 * @param timeToFirstToken the delay from the start of the work to the first token
 * @param timeBetweenTokens the delay between two consecutive tokens
 */
public record ModelEngineSettings(RunnerStandInSettings runner, Duration timeToFirstToken, Duration timeBetweenTokens) {

    /** Returns the settings of an engine on a free loopback port. */
    public static ModelEngineSettings withDefaults() {
        return new ModelEngineSettings(
                RunnerStandInSettings.withDefaults(), Duration.ofMillis(30), Duration.ofMillis(20));
    }
}
