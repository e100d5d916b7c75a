package org.mangowall.standin.plain;

import java.time.Duration;

import org.mangowall.standin.runner.RunnerStandInSettings;

/**
 * How a plain service stand-in behaves.
 *
 * @param runner how it takes load
 * @param workTime how long each call takes
 */
public record PlainServiceSettings(RunnerStandInSettings runner, Duration workTime) {

    /** A service on a free loopback port. */
    public static PlainServiceSettings withDefaults() {
        return new PlainServiceSettings(RunnerStandInSettings.withDefaults(), Duration.ofMillis(5));
    }
}
