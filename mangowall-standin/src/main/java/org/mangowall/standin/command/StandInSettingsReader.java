package org.mangowall.standin.command;

import java.time.Duration;

import org.mangowall.inventory.checked.CheckedTable;
import org.mangowall.inventory.checked.HostAndPort;
import org.mangowall.standin.engine.ModelEngineSettings;
import org.mangowall.standin.farm.FarmSettings;
import org.mangowall.standin.plain.PlainServiceSettings;
import org.mangowall.standin.platform.PlatformStandInSettings;
import org.mangowall.standin.runner.RunnerStandInSettings;

/** Reads the settings of stand-ins from TOML; {@code docs/stand-ins.md} lists every key. */
final class StandInSettingsReader {

    private static final Duration MAXIMUM_DURATION = Duration.ofHours(1);
    private static final int MAXIMUM_CALLS_PER_SECOND = 1_000_000;
    private static final int BYTES_PER_MEBIBYTE = 1024 * 1024;
    private static final double MAXIMUM_OVERLOAD_TOLERANCE = 100;

    private StandInSettingsReader() {}

    /**
     * Reads the settings of a platform from the table {@code platform}.
     *
     * @throws org.mangowall.inventory.checked.SettingsException with all errors found
     */
    static PlatformStandInSettings readPlatform(CheckedTable root) {
        PlatformStandInSettings defaults = PlatformStandInSettings.withDefaults();
        CheckedTable table = root.table("platform");
        HostAndPort address = table.address("address");
        PlatformStandInSettings settings = new PlatformStandInSettings(
                address.host(),
                address.port(),
                table.integer("reads_per_second", 1, MAXIMUM_CALLS_PER_SECOND, defaults.readsPerSecond()),
                table.integer("writes_per_second", 1, MAXIMUM_CALLS_PER_SECOND, defaults.writesPerSecond()),
                (int) table.bytes("maximum_object", 1, 8L * BYTES_PER_MEBIBYTE, defaults.maximumObjectBytes()),
                readDuration(table, "host_lag", defaults.hostLag()),
                readDuration(table, "host_expiry", defaults.hostExpiry()));
        root.finish();
        return settings;
    }

    /**
     * Reads the settings of runners from the tables {@code model} and {@code plain}.
     *
     * @throws org.mangowall.inventory.checked.SettingsException with all errors found
     */
    static FarmSettings readFarm(CheckedTable root) {
        FarmSettings defaults = FarmSettings.withDefaults();
        CheckedTable model = root.table("model");
        CheckedTable plain = root.table("plain");
        FarmSettings settings = new FarmSettings(
                new ModelEngineSettings(
                        readRunner(model, defaults.model().runner()),
                        readDuration(
                                model, "time_to_first_token", defaults.model().timeToFirstToken()),
                        readDuration(
                                model, "time_between_tokens", defaults.model().timeBetweenTokens())),
                new PlainServiceSettings(
                        readRunner(plain, defaults.plain().runner()),
                        readDuration(plain, "work_time", defaults.plain().workTime())));
        root.finish();
        return settings;
    }

    private static RunnerStandInSettings readRunner(CheckedTable table, RunnerStandInSettings defaults) {
        return new RunnerStandInSettings(
                defaults.host(),
                defaults.port(),
                defaults.slots(),
                table.integer("start_limit", 1, MAXIMUM_CALLS_PER_SECOND, defaults.startLimit()),
                readDuration(table, "warm_up", defaults.warmUp()),
                table.number("overload_tolerance", 1, MAXIMUM_OVERLOAD_TOLERANCE, defaults.overloadTolerance()),
                readDuration(table, "restart_pause", defaults.restartPause()),
                readDuration(table, "load_lag", defaults.loadLag()));
    }

    private static Duration readDuration(CheckedTable table, String key, Duration defaults) {
        return table.duration(key, Duration.ZERO, MAXIMUM_DURATION, defaults);
    }
}
