package org.mangowall.router;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import org.mangowall.kernel.failure.MangowallException;
import org.mangowall.kernel.log.ComponentLog;
import org.mangowall.kernel.signal.ProcessSignals;

/** Entry point of the program {@code mangowall-router}. */
public final class RouterMain {

    private static final int EXIT_OK = 0;
    private static final int EXIT_FAILED = 1;
    private static final int EXIT_INVALID_SETTINGS = 2;
    private static final String PROGRAM = "mangowall-router";
    // Fewer and smaller buffer arenas than Netty's own defaults, which take more memory than a router needs.
    private static final Map<String, String> NETTY_ALLOCATOR_DEFAULTS = Map.of(
            "io.netty.allocator.numDirectArenas", "2",
            "io.netty.allocator.numHeapArenas", "1",
            "io.netty.allocator.maxOrder", "5");

    private RouterMain() {}

    /** Runs a router until the process is terminated; exits with code 2 on invalid arguments or settings. */
    public static void main(String[] arguments) {
        ProcessSignals signals = ProcessSignals.receive();
        System.setProperty("java.util.logging.manager", "org.jboss.logmanager.LogManager");
        NETTY_ALLOCATOR_DEFAULTS.forEach(
                (property, value) -> System.getProperties().putIfAbsent(property, value));
        System.exit(runGuarded(arguments, signals, System.out, System.err));
    }

    /** Lets an unexpected failure end the process, though other threads are running. */
    private static int runGuarded(String[] arguments, ProcessSignals signals, PrintStream out, PrintStream err) {
        try {
            return run(arguments, signals, out, err);
        } catch (RuntimeException | Error unexpected) {
            unexpected.printStackTrace(err);
            return EXIT_FAILED;
        }
    }

    static int run(String[] arguments, ProcessSignals signals, PrintStream out, PrintStream err) {
        RouterArguments parsed = new RouterArguments();
        JCommander commander =
                JCommander.newBuilder().programName(PROGRAM).addObject(parsed).build();
        try {
            commander.parse(arguments);
        } catch (ParameterException failure) {
            err.println(PROGRAM + ": " + failure.getMessage());
            return EXIT_INVALID_SETTINGS;
        }
        if (parsed.help() || parsed.settings() == null) {
            StringBuilder help = new StringBuilder();
            commander.getUsageFormatter().usage(help);
            (parsed.help() ? out : err).print(help);
            return parsed.help() ? EXIT_OK : EXIT_INVALID_SETTINGS;
        }
        return runParsed(parsed, signals, out, err);
    }

    private static int runParsed(RouterArguments arguments, ProcessSignals signals, PrintStream out, PrintStream err) {
        Path settingsFile = Path.of(arguments.settings());
        RouterSettings settings;
        try {
            settings = arguments.check()
                    ? RouterSettingsReader.read(settingsFile)
                    : signals.readSettings(() -> RouterSettingsReader.read(settingsFile));
        } catch (MangowallException failure) {
            err.println(PROGRAM + ": " + failure.getMessage());
            return EXIT_INVALID_SETTINGS;
        }
        if (arguments.check()) {
            out.println(PROGRAM + ": the settings are good");
            return EXIT_OK;
        }
        LogSetup.apply(settings.log());
        try {
            return runUntilTermination(settings, settingsFile, signals) ? EXIT_OK : EXIT_FAILED;
        } catch (MangowallException failure) {
            err.println(PROGRAM + ": " + failure.failureCode().code() + ": " + failure.getMessage());
            return EXIT_FAILED;
        }
    }

    /** Returns whether the router has ended in order. */
    private static boolean runUntilTermination(RouterSettings settings, Path settingsFile, ProcessSignals signals) {
        ComponentLog log = ComponentLog.of("router");
        if (signals.isStopPending()) {
            log.info("the start is cancelled: the process was asked to end");
            return true;
        }
        try (Router router = Router.start(settings)) {
            CompletableFuture<Void> stopRequested = new CompletableFuture<>();
            signals.onStop(() -> stopRequested.complete(null));
            signals.onReload(() -> checkChangedSettings(settingsFile, log));
            CompletableFuture<Void> networkThreadEnd = router.networkThreadEnd();
            CompletableFuture.anyOf(stopRequested, networkThreadEnd).join();
            if (stopRequested.isDone()) {
                CompletableFuture.anyOf(router.leave(), networkThreadEnd).join();
            }
            if (networkThreadEnd.isDone()) {
                log.warn("the process exits: a network thread has ended");
                return false;
            }
            return true;
        }
    }

    /** Validates the changed file; a running router applies changed settings only when it restarts. */
    private static void checkChangedSettings(Path settingsFile, ComponentLog log) {
        try {
            RouterSettingsReader.read(settingsFile);
            log.info("the changed settings are good and take effect at the next start");
        } catch (MangowallException failure) {
            log.warn("the changed settings can't be used: %s", failure.getMessage());
        }
    }
}
