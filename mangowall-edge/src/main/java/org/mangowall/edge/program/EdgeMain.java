package org.mangowall.edge.program;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.PrintStream;
import java.nio.file.Path;
import java.time.Clock;
import java.util.Map;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import org.mangowall.edge.log.DecisionLog;
import org.mangowall.edge.log.GuardedTask;
import org.mangowall.edge.log.LibraryLogHandler;
import org.mangowall.edge.wire.PlatformAdapter;
import org.mangowall.kernel.failure.MangowallException;
import org.mangowall.kernel.plugin.PluginRegistry;
import org.mangowall.kernel.signal.ProcessSignals;

/** The entry point of the program {@code mangowall-edge}. */
public final class EdgeMain {

    private static final int EXIT_OK = 0;
    private static final int EXIT_FAILED = 1;
    private static final int EXIT_INVALID_SETTINGS = 2;
    private static final String PROGRAM = "mangowall-edge";
    private static final String SETTINGS_VARIABLE = "MANGOWALL_CONFIG";
    private static final Map<String, String> NETTY_MEMORY_PROPERTIES = Map.of(
            "io.netty.allocator.numDirectArenas", "1",
            "io.netty.allocator.numHeapArenas", "1",
            "io.netty.allocator.maxOrder", "5",
            "io.netty.noUnsafe", "false");

    @Parameter(names = "--settings", description = "the settings file; the default is the value of MANGOWALL_CONFIG")
    private String settingsFile = System.getenv(SETTINGS_VARIABLE);

    @Parameter(names = "--check", description = "check the settings and exit")
    private boolean isCheckOnly;

    @Parameter(
            names = "--train",
            description = "start, run sample requests to list the classes for the archive, and exit")
    private boolean isTraining;

    @Parameter(names = "--help", help = true, description = "show this help")
    private boolean isHelp;

    private EdgeMain() {}

    /** Runs a host until the process receives a termination signal; invalid settings exit with code 2. */
    public static void main(String[] arguments) {
        ProcessSignals signals = ProcessSignals.receive();
        NETTY_MEMORY_PROPERTIES.forEach(
                (property, value) -> System.getProperties().putIfAbsent(property, value));
        System.exit(runGuarded(arguments, signals, System.out, System.err));
    }

    /** Lets an unexpected failure end the process, though the network thread is running. */
    private static int runGuarded(String[] arguments, ProcessSignals signals, PrintStream out, PrintStream err) {
        try {
            return run(arguments, signals, out, err);
        } catch (RuntimeException | Error unexpected) {
            unexpected.printStackTrace(err);
            return EXIT_FAILED;
        }
    }

    static int run(String[] arguments, ProcessSignals signals, PrintStream out, PrintStream err) {
        EdgeMain parsed = new EdgeMain();
        if (arguments.length == 0 && parsed.settingsFile != null) {
            // The parser would take a fifth of the start, by reflection.
            return parsed.runWithSettings(signals, out, err);
        }
        JCommander commander =
                JCommander.newBuilder().programName(PROGRAM).addObject(parsed).build();
        try {
            commander.parse(arguments);
        } catch (ParameterException failure) {
            err.println(PROGRAM + ": " + failure.getMessage());
            return EXIT_INVALID_SETTINGS;
        }
        if (parsed.isHelp || parsed.settingsFile == null) {
            StringBuilder help = new StringBuilder();
            commander.getUsageFormatter().usage(help);
            (parsed.isHelp ? out : err).print(help);
            return parsed.isHelp ? EXIT_OK : EXIT_INVALID_SETTINGS;
        }
        return parsed.runWithSettings(signals, out, err);
    }

    private int runWithSettings(ProcessSignals signals, PrintStream out, PrintStream err) {
        Configured configured;
        try {
            configured = isCheckOnly ? configure() : signals.readSettings(this::configure);
        } catch (MangowallException failure) {
            err.println(PROGRAM + ": " + failure.getMessage());
            return EXIT_INVALID_SETTINGS;
        }
        if (isCheckOnly) {
            out.println(PROGRAM + ": the settings are good");
            return EXIT_OK;
        }
        String host = configured.settings().name();
        try (DecisionLog log = new DecisionLog(new FileOutputStream(FileDescriptor.out), Clock.systemUTC(), host)) {
            return runUntilShutdown(configured.settings(), configured.adapter(), signals, log);
        }
    }

    private Configured configure() {
        EdgeSettings settings = EdgeSettingsReader.read(Path.of(settingsFile));
        return new Configured(
                settings, PluginRegistry.load(PlatformAdapter.class).find(settings.adapter()));
    }

    /** The settings and the adapter that they select. */
    private record Configured(EdgeSettings settings, PlatformAdapter adapter) {}

    private int runUntilShutdown(
            EdgeSettings settings, PlatformAdapter adapter, ProcessSignals signals, DecisionLog log) {
        if (signals.isStopPending()) {
            log.write("start-cancelled", line -> line.writeStringField("reason", "the process was asked to end"));
            return EXIT_OK;
        }
        Edge edge = new Edge(settings, adapter, log);
        try {
            edge.start();
        } catch (MangowallException failure) {
            log.write("start-failed", line -> line.writeStringField("reason", failure.getMessage()));
            return EXIT_FAILED;
        }
        LibraryLogHandler.install(log);
        signals.onStop(edge::beginShutdown);
        signals.onReload(new GuardedTask(log, "reload", () -> reload(log)));
        if (isTraining) {
            loadClasses(adapter);
            edge.beginShutdown();
        } else if (settings.isFirstStart()) {
            new JvmWarmUp(adapter.messages()).start(JvmWarmUp.COMPILING_REQUESTS);
        }
        return edge.awaitShutdown() ? EXIT_OK : EXIT_FAILED;
    }

    private static void loadClasses(PlatformAdapter adapter) {
        JvmWarmUp warmUp = new JvmWarmUp(adapter.messages());
        warmUp.start(JvmWarmUp.CLASS_LOADING_REQUESTS);
        warmUp.await();
    }

    /** Validates the changed file; a running host applies new addresses and bounds only when it restarts. */
    private void reload(DecisionLog log) {
        String outcome;
        try {
            EdgeSettingsReader.read(Path.of(settingsFile));
            outcome = "the file is valid and takes effect at the next start";
        } catch (MangowallException failure) {
            outcome = failure.getMessage();
        }
        String result = outcome;
        log.write("reload", line -> line.writeStringField("outcome", result));
    }
}
