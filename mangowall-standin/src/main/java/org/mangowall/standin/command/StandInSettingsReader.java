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

    private static final Duration LONGEST_TIME = Duration.ofHours(1);
    private static final int MOST_CALLS_PER_SECOND = 1_000_000;
    private static final int MEBIBYTE = 1024 * 1024;
    private static final double MOST_TOLERANCE = 100;

    private StandInSettingsReader() {}

    /**
     * Reads the table of a platform.
     *
     * @throws org.mangowall.inventory.checked.SettingsException with all faults
     */
    static PlatformStandInSettings readPlatform(CheckedTable root) {
        PlatformStandInSettings usual = PlatformStandInSettings.withDefaults();
        CheckedTable table = root.table("platform");
        HostAndPort address = table.address("address");
        PlatformStandInSettings settings = new PlatformStandInSettings(
                address.host(),
                address.port(),
                table.integer("reads_per_second", 1, MOST_CALLS_PER_SECOND, usual.readsPerSecond()),
                table.integer("writes_per_second", 1, MOST_CALLS_PER_SECOND, usual.writesPerSecond()),
                (int) table.bytes("maximum_object", 1, 8L * MEBIBYTE, usual.maximumObjectBytes()),
                time(table, "host_lag", usual.hostLag()),
                time(table, "host_expiry", usual.hostExpiry()));
        root.finish();
        return settings;
    }

    /**
     * Reads the tables of runners.
     *
     * @throws org.mangowall.inventory.checked.SettingsException with all faults
     */
    static FarmSettings readFarm(CheckedTable root) {
        FarmSettings usual = FarmSettings.withDefaults();
        CheckedTable model = root.table("model");
        CheckedTable plain = root.table("plain");
        FarmSettings settings = new FarmSettings(
                new ModelEngineSettings(
                        readRunner(model, usual.model().runner()),
                        time(model, "time_to_first_token", usual.model().timeToFirstToken()),
                        time(model, "time_between_tokens", usual.model().timeBetweenTokens())),
                new PlainServiceSettings(
                        readRunner(plain, usual.plain().runner()),
                        time(plain, "work_time", usual.plain().workTime())));
        root.finish();
        return settings;
    }

    private static RunnerStandInSettings readRunner(CheckedTable table, RunnerStandInSettings usual) {
        return new RunnerStandInSettings(
                usual.host(),
                usual.port(),
                usual.slots(),
                table.integer("start_limit", 1, MOST_CALLS_PER_SECOND, usual.startLimit()),
                time(table, "warm_up", usual.warmUp()),
                table.number("overload_tolerance", 1, MOST_TOLERANCE, usual.overloadTolerance()),
                time(table, "restart_pause", usual.restartPause()),
                time(table, "load_lag", usual.loadLag()));
    }

    private static Duration time(CheckedTable table, String key, Duration usual) {
        return table.duration(key, Duration.ZERO, LONGEST_TIME, usual);
    }
}
