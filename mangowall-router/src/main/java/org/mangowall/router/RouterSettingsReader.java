package org.mangowall.router;

import java.net.URI;
import java.net.URISyntaxException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Locale;
import java.util.Optional;
import java.util.function.Function;

import org.mangowall.inventory.checked.CheckedTable;
import org.mangowall.inventory.checked.HostAndPort;
import org.mangowall.kernel.failure.MangowallException;
import org.mangowall.kernel.name.RouterName;
import org.mangowall.kernel.name.ZoneName;

/** Reads {@link RouterSettings} from TOML; {@code docs/settings-router.md} lists every key. */
public final class RouterSettingsReader {

    private static final int KIBIBYTE = 1024;
    private static final int MEBIBYTE = 1024 * KIBIBYTE;
    private static final long GIBIBYTE = 1024L * MEBIBYTE;
    private static final Duration MINIMUM_DURATION = Duration.ofMillis(10);
    private static final Duration MAXIMUM_DURATION = Duration.ofHours(1);

    private final CheckedTable root;

    private RouterSettingsReader(CheckedTable root) {
        this.root = root;
    }

    /**
     * Reads a settings file.
     *
     * @throws org.mangowall.inventory.checked.SettingsException that lists all errors of the file
     */
    public static RouterSettings read(Path file) {
        return read(CheckedTable.readToml(file));
    }

    /**
     * Reads parsed settings.
     *
     * @throws org.mangowall.inventory.checked.SettingsException that lists all errors
     */
    public static RouterSettings read(CheckedTable root) {
        return new RouterSettingsReader(root).readAll();
    }

    private RouterSettings readAll() {
        CheckedTable router = root.table("router");
        RouterName name = readName(router, "name", RouterName::new, new RouterName("unnamed"));
        ZoneName zone = readName(router, "zone", ZoneName::new, new ZoneName("unnamed"));
        CheckedTable caller = root.table("caller");
        CheckedTable peer = root.table("peer");
        CheckedTable operator = root.table("operator");
        HostAndPort callerAddress = caller.address("address");
        HostAndPort peerAddress = peer.address("address");
        HostAndPort operatorAddress = operator.address("address");
        checkDistinct(peer, "caller.address", callerAddress, peerAddress);
        checkDistinct(operator, "caller.address", callerAddress, operatorAddress);
        checkDistinct(operator, "peer.address", peerAddress, operatorAddress);
        RouterSettings settings = new RouterSettings(
                name,
                zone,
                callerAddress,
                peerAddress,
                operatorAddress,
                operator.optionalText("token_file").map(Path::of),
                readEndpoint(root.table("platform")),
                router.text("scheduling_policy", RouterSettings.DEFAULT_SCHEDULING_POLICY),
                router.text("control_plane", RouterSettings.DEFAULT_CONTROL_PLANE),
                readCaller(caller),
                readPeer(peer),
                readRunner(root.table("runner")),
                router.integer("io_threads", 1, 64, RouterSettings.DEFAULT_IO_THREADS),
                router.integer("decision_ring_events", 64, 1 << 20, RouterSettings.DEFAULT_DECISION_RING_EVENTS),
                readLogFormat(root.table("log")),
                router.integer("seed", 0, Integer.MAX_VALUE, name.value().hashCode() & Integer.MAX_VALUE));
        root.finish();
        return settings;
    }

    private static <T> T readName(CheckedTable table, String key, Function<String, T> constructor, T fallback) {
        String text = table.text(key);
        if (text.isEmpty()) {
            return fallback;
        }
        try {
            return constructor.apply(text);
        } catch (MangowallException failure) {
            table.fault(key, failure.getMessage());
            return fallback;
        }
    }

    private static void checkDistinct(CheckedTable table, String otherKey, HostAndPort other, HostAndPort address) {
        if (address.port() != 0 && address.equals(other)) {
            table.fault("address", "an address other than that of " + otherKey);
        }
    }

    private static URI readEndpoint(CheckedTable platform) {
        String text = platform.text("endpoint");
        try {
            URI endpoint = new URI(text);
            if (!text.isEmpty() && (endpoint.getHost() == null || endpoint.getScheme() == null)) {
                platform.fault("endpoint", "an address such as http://127.0.0.1:9000");
            }
            return endpoint;
        } catch (URISyntaxException failure) {
            platform.fault("endpoint", "an address such as http://127.0.0.1:9000");
            return URI.create("http://0.0.0.0");
        }
    }

    private static LogFormat readLogFormat(CheckedTable log) {
        String text = log.text("format", "text");
        Optional<LogFormat> format = Optional.empty();
        for (LogFormat candidate : LogFormat.values()) {
            if (candidate.name().toLowerCase(Locale.ROOT).equals(text)) {
                format = Optional.of(candidate);
            }
        }
        if (format.isEmpty()) {
            log.fault("format", "\"text\" or \"json\"");
        }
        return format.orElse(LogFormat.TEXT);
    }

    private static Duration readDuration(CheckedTable table, String key, Duration defaultValue) {
        return table.duration(key, MINIMUM_DURATION, MAXIMUM_DURATION, defaultValue);
    }

    private static CallerSettings readCaller(CheckedTable table) {
        CallerSettings defaults = CallerSettings.DEFAULTS;
        return new CallerSettings(
                (int) table.bytes("maximum_headers", KIBIBYTE, MEBIBYTE, defaults.maximumHeaderBytes()),
                (int) table.bytes("maximum_body", KIBIBYTE, 8L * MEBIBYTE, defaults.maximumBodyBytes()),
                table.integer("maximum_open_requests", 1, 1 << 20, defaults.maximumOpenRequests()),
                table.bytes("maximum_buffered", MEBIBYTE, 64 * GIBIBYTE, defaults.maximumBufferedBytes()),
                readDuration(table, "idle_timeout", defaults.idleTimeout()),
                readDuration(table, "read_timeout", defaults.readTimeout()),
                readDuration(table, "entry_hosts_keep_time", defaults.entryHostsKeepTime()),
                readDuration(table, "drain_timeout", defaults.drainTimeout()));
    }

    private static PeerSettings readPeer(CheckedTable table) {
        PeerSettings defaults = PeerSettings.DEFAULTS;
        return new PeerSettings(
                readDuration(table, "connect_timeout", defaults.connectTimeout()),
                readDuration(table, "heartbeat_period", defaults.heartbeatPeriod()),
                table.integer("missed_heartbeats", 2, 100, defaults.missedHeartbeats()),
                readDuration(table, "idle_timeout", defaults.idleTimeout()),
                table.integer("pending_messages", 1, 1 << 16, defaults.pendingMessages()));
    }

    private static RunnerSettings readRunner(CheckedTable table) {
        RunnerSettings defaults = RunnerSettings.DEFAULTS;
        return new RunnerSettings(
                readDuration(table, "connect_timeout", defaults.connectTimeout()),
                readDuration(table, "pooled_idle_timeout", defaults.pooledIdleTimeout()),
                readDuration(table, "load_poll_period", defaults.loadPollPeriod()),
                readDuration(table, "load_timeout", defaults.loadTimeout()));
    }
}
