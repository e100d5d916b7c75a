package org.mangowall.standin.plain;

import java.time.Duration;

import org.mangowall.standin.runner.RunnerStandInSettings;

/**
 * Load behaviour and work time of a plain service stand-in.
 *
 * @param runner the address, capacity and overload behaviour
 * @param workTime the processing time of each request
 */
public record PlainServiceSettings(RunnerStandInSettings runner, Duration workTime) {

    /** Returns the settings of a service on a free loopback port. */
    public static PlainServiceSettings withDefaults() {
        return new PlainServiceSettings(RunnerStandInSettings.withDefaults(), Duration.ofMillis(5));
    }
}
