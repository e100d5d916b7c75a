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
import org.mangowall.edge.wire.PlatformAdapter;
import org.mangowall.kernel.failure.MangowallException;
import org.mangowall.kernel.plugin.PluginRegistry;

/** The binary {@code mangowall-edge}. */
public final class EdgeMain {

    private static final int EXIT_OK = 0;
    private static final int EXIT_FAILED = 1;
    private static final int EXIT_BAD_SETTINGS = 2;
    private static final String PROGRAM = "mangowall-edge";
    private static final String SETTINGS_VARIABLE = "MANGOWALL_CONFIG";
    private static final Map<String, String> SMALL_MEMORY = Map.of(
            "io.netty.allocator.numDirectArenas", "1",
            "io.netty.allocator.numHeapArenas", "1",
            "io.netty.allocator.maxOrder", "5",
            "io.netty.noUnsafe", "false");

    @Parameter(names = "--settings", description = "the settings file; MANGOWALL_CONFIG names it otherwise")
    private String settingsFile = System.getenv(SETTINGS_VARIABLE);

    @Parameter(names = "--check", description = "check the settings and end")
    private boolean isCheck;

    @Parameter(names = "--train", description = "start, end at once: loads the classes for an archive of them")
    private boolean isTraining;

    @Parameter(names = "--help", help = true, description = "show this help")
    private boolean isHelp;

    private EdgeMain() {}

    /** Runs a host until the process is asked to end; bad settings end it with code 2. */
    public static void main(String[] arguments) {
        SMALL_MEMORY.forEach((property, value) -> System.getProperties().putIfAbsent(property, value));
        System.exit(run(arguments, System.out, System.err));
    }

    static int run(String[] arguments, PrintStream out, PrintStream err) {
        EdgeMain parsed = new EdgeMain();
        JCommander commander =
                JCommander.newBuilder().programName(PROGRAM).addObject(parsed).build();
        try {
            commander.parse(arguments);
        } catch (ParameterException failure) {
            err.println(PROGRAM + ": " + failure.getMessage());
            return EXIT_BAD_SETTINGS;
        }
        if (parsed.isHelp || parsed.settingsFile == null) {
            StringBuilder help = new StringBuilder();
            commander.getUsageFormatter().usage(help);
            (parsed.isHelp ? out : err).print(help);
            return parsed.isHelp ? EXIT_OK : EXIT_BAD_SETTINGS;
        }
        return parsed.runWithSettings(out, err);
    }

    private int runWithSettings(PrintStream out, PrintStream err) {
        EdgeSettings settings;
        PlatformAdapter adapter;
        try {
            settings = EdgeSettingsReader.read(Path.of(settingsFile));
            adapter = PluginRegistry.load(PlatformAdapter.class).find(settings.adapter());
        } catch (MangowallException failure) {
            err.println(PROGRAM + ": " + failure.getMessage());
            return EXIT_BAD_SETTINGS;
        }
        if (isCheck) {
            out.println(PROGRAM + ": the settings are good");
            return EXIT_OK;
        }
        try (DecisionLog log =
                new DecisionLog(new FileOutputStream(FileDescriptor.out), Clock.systemUTC(), settings.name())) {
            return runUntilEnd(settings, adapter, log);
        }
    }

    private int runUntilEnd(EdgeSettings settings, PlatformAdapter adapter, DecisionLog log) {
        Edge edge = new Edge(settings, adapter, log);
        try {
            edge.start();
        } catch (MangowallException failure) {
            log.write("start-failed", line -> line.writeStringField("reason", failure.getMessage()));
            return EXIT_FAILED;
        }
        Signals.handle("TERM", edge::leave);
        Signals.handle("INT", edge::leave);
        Signals.handle("HUP", () -> reload(log));
        if (isTraining) {
            train(adapter);
            edge.leave();
        } else if (settings.isFirstStart()) {
            new Rehearsal(adapter.messages()).start(Rehearsal.FULL_ROUNDS);
        }
        edge.awaitEnd();
        return EXIT_OK;
    }

    private static void train(PlatformAdapter adapter) {
        Rehearsal rehearsal = new Rehearsal(adapter.messages());
        rehearsal.start(Rehearsal.SHORT_ROUNDS);
        rehearsal.await();
    }

    /** Checks the changed file; the addresses and bounds of a running host stay until it starts again. */
    private void reload(DecisionLog log) {
        String outcome;
        try {
            EdgeSettingsReader.read(Path.of(settingsFile));
            outcome = "the file is good and holds from the next start";
        } catch (MangowallException failure) {
            outcome = failure.getMessage();
        }
        String logged = outcome;
        log.write("reload", line -> line.writeStringField("outcome", logged));
    }
}
