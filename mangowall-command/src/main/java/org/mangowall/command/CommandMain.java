package org.mangowall.command;

import java.util.concurrent.locks.LockSupport;

import org.mangowall.kernel.time.MonotonicClock;

/** The binary {@code mangowall}. */
public final class CommandMain {

    private static final long PAUSE_NANOSECONDS = 250_000_000;

    private CommandMain() {}

    /** Runs the command line and ends the process with its exit code. */
    public static void main(String... words) {
        Runnable pause = () -> LockSupport.parkNanos(PAUSE_NANOSECONDS);
        CommandLine commandLine = new CommandLine(System.out, System.err, new MonotonicClock(), pause);
        System.exit(commandLine.run(words).code());
    }
}
