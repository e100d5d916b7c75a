package org.mangowall.command;

import java.util.concurrent.locks.LockSupport;

import org.mangowall.command.output.ExitCode;
import org.mangowall.kernel.time.MonotonicClock;

/** The binary {@code mangowall}. */
public final class CommandMain {

    private static final long PAUSE_NANOSECONDS = 250_000_000;

    private CommandMain() {}

    /** Runs the command line and ends the process with its exit code, also when threads of libraries still run. */
    public static void main(String... words) {
        Runnable pause = () -> LockSupport.parkNanos(PAUSE_NANOSECONDS);
        CommandLine commandLine = new CommandLine(System.out, System.err, new MonotonicClock(), pause);
        ExitCode exitCode = ExitCode.INTERNAL;
        try {
            exitCode = commandLine.run(words);
        } catch (LinkageError brokenInstallation) {
            System.err.println("mangowall: internal: the installation is not whole: " + brokenInstallation);
        }
        System.exit(exitCode.code());
    }
}
