package org.mangowall.command;

import java.util.concurrent.locks.LockSupport;

import org.mangowall.command.output.ExitCode;
import org.mangowall.kernel.time.MonotonicClock;

/** The entry point of the program {@code mangowall}. */
public final class CommandMain {

    private static final long POLL_PAUSE_NANOSECONDS = 250_000_000;

    private CommandMain() {}

    /** Runs the command line and exits with its exit code, even if library threads are still running. */
    public static void main(String... arguments) {
        Runnable pause = () -> LockSupport.parkNanos(POLL_PAUSE_NANOSECONDS);
        CommandLine commandLine = new CommandLine(System.out, System.err, new MonotonicClock(), pause);
        ExitCode exitCode = ExitCode.INTERNAL;
        try {
            exitCode = commandLine.run(arguments);
        } catch (LinkageError brokenInstallation) {
            System.err.println("mangowall: internal: the installation is not whole: " + brokenInstallation);
        }
        System.exit(exitCode.code());
    }
}
