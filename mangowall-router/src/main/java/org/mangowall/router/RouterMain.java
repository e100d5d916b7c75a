package org.mangowall.router;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.CountDownLatch;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import org.mangowall.kernel.failure.MangowallException;

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
        System.setProperty("java.util.logging.manager", "org.jboss.logmanager.LogManager");
        NETTY_ALLOCATOR_DEFAULTS.forEach(
                (property, value) -> System.getProperties().putIfAbsent(property, value));
        int exitCode = run(arguments, System.out, System.err);
        if (exitCode != EXIT_OK) {
            System.exit(exitCode);
        }
    }

    static int run(String[] arguments, PrintStream out, PrintStream err) {
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
        return runParsed(parsed, out, err);
    }

    private static int runParsed(RouterArguments arguments, PrintStream out, PrintStream err) {
        RouterSettings settings;
        try {
            settings = RouterSettingsReader.read(Path.of(arguments.settings()));
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
            runUntilTermination(settings);
            return EXIT_OK;
        } catch (MangowallException failure) {
            err.println(PROGRAM + ": " + failure.failureCode().code() + ": " + failure.getMessage());
            return EXIT_FAILED;
        }
    }

    private static void awaitTermination() {
        try {
            new CountDownLatch(1).await();
        } catch (InterruptedException interruption) {
            Thread.currentThread().interrupt();
        }
    }

    private static void runUntilTermination(RouterSettings settings) {
        Router router = Router.start(settings);
        Runtime.getRuntime()
                .addShutdownHook(new Thread(
                        () -> {
                            router.leave().join();
                            router.close();
                        },
                        "mangowall-shutdown"));
        awaitTermination();
    }
}
