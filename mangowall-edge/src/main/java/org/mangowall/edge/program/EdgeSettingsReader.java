package org.mangowall.edge.program;

import java.nio.file.Path;
import java.time.Duration;
import java.util.OptionalLong;

import org.mangowall.edge.traffic.EdgeBounds;
import org.mangowall.inventory.checked.CheckedTable;

/** Reads {@link EdgeSettings} from TOML; {@code docs/settings-edge.md} lists every key. */
public final class EdgeSettingsReader {

    private static final double NANOS_PER_SECOND = 1e9;
    private static final double MILLIS_PER_SECOND = 1e3;
    private static final double MAX_SECONDS = 3_600;
    private static final double MIN_SECONDS = 0.1;
    private static final double DEFAULT_RETRIES_PER_REQUEST = 0.2;
    private static final double DEFAULT_RETRY_SLACK = 50;
    private static final double DEFAULT_RETRY_WINDOW_SECONDS = 10;
    private static final double DEFAULT_SHARE_WINDOW_SECONDS = 4;
    private static final double DEFAULT_DIRECTORY_CACHE_SECONDS = 2;
    private static final double DEFAULT_GRACE_SECONDS = 8;
    private static final double MIN_PROCESSOR_SHARE = 0.01;
    private static final double MAX_PROCESSOR_SHARE = 1_024;
    private static final double MAX_PROCESSOR_SPEED = 1_024;
    private static final double BYTES_PER_MEGABYTE = 1 << 20;
    private static final double MIN_MEGABYTES = 1;
    private static final double MAX_MEGABYTES = 1 << 20;
    /** A host has some hundred files and connections open without any caller. */
    private static final double MIN_DESCRIPTORS = 256;

    private static final double MAX_DESCRIPTORS = Integer.MAX_VALUE;

    private EdgeSettingsReader() {}

    /**
     * Reads a settings file.
     *
     * @throws org.mangowall.inventory.checked.SettingsException with all errors of the file
     */
    public static EdgeSettings read(Path file) {
        return read(CheckedTable.readToml(file));
    }

    /**
     * Reads parsed settings.
     *
     * @throws org.mangowall.inventory.checked.SettingsException with all errors
     */
    public static EdgeSettings read(CheckedTable root) {
        CheckedTable host = root.table("host");
        CheckedTable caller = root.table("caller");
        CheckedTable peer = root.table("peer");
        CheckedTable platform = root.table("platform");
        CheckedTable memory = root.table("memory");
        CheckedTable bounds = root.table("bounds");
        EdgeSettings settings = new EdgeSettings(
                host.text("name"),
                host.text("zone"),
                host.number("processor_share", MIN_PROCESSOR_SHARE, MAX_PROCESSOR_SHARE, 1)
                        * host.number("processor_speed", MIN_PROCESSOR_SHARE, MAX_PROCESSOR_SPEED, 1),
                (int) host.number("descriptors", MIN_DESCRIPTORS, MAX_DESCRIPTORS, 0),
                host.flag("first_start", false),
                caller.address("address"),
                caller.flag("refuse_when_behind", false),
                root.table("directory").address("address"),
                root.table("readiness").address("address"),
                peer.address("address"),
                root.table("metrics").address("address"),
                peer.addresses("seeds"),
                platform.text("adapter"),
                platform.address("store"),
                new MemorySettings(bytes(memory, "process_megabytes"), bytes(memory, "held_megabytes")),
                new EdgeBounds(
                        bounds.number("retries_per_request", 0, 10, DEFAULT_RETRIES_PER_REQUEST),
                        bounds.number("retry_slack", 0, 1e6, DEFAULT_RETRY_SLACK),
                        nanos(bounds, "retry_window_seconds", DEFAULT_RETRY_WINDOW_SECONDS),
                        nanos(bounds, "share_window_seconds", DEFAULT_SHARE_WINDOW_SECONDS)),
                duration(bounds, "answer_life_seconds", DEFAULT_DIRECTORY_CACHE_SECONDS),
                duration(bounds, "grace_seconds", DEFAULT_GRACE_SECONDS));
        root.finish();
        return settings;
    }

    private static OptionalLong bytes(CheckedTable table, String key) {
        return table.has(key)
                ? OptionalLong.of((long) (BYTES_PER_MEGABYTE * table.number(key, MIN_MEGABYTES, MAX_MEGABYTES, 1)))
                : OptionalLong.empty();
    }

    private static long nanos(CheckedTable table, String key, double defaultSeconds) {
        return (long) (NANOS_PER_SECOND * table.number(key, MIN_SECONDS, MAX_SECONDS, defaultSeconds));
    }

    private static Duration duration(CheckedTable table, String key, double defaultSeconds) {
        double seconds = table.number(key, MIN_SECONDS, MAX_SECONDS, defaultSeconds);
        return Duration.ofMillis((long) (MILLIS_PER_SECOND * seconds));
    }
}
