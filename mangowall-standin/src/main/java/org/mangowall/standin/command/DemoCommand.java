package org.mangowall.standin.command;

import java.time.Duration;
import java.util.logging.Level;
import java.util.logging.Logger;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import org.mangowall.standin.demo.Demo;

/** Runs a complete fleet in this process. */
@Parameters(commandDescription = "Start a complete small fleet in this process and send calls through it")
final class DemoCommand implements StandInCommand {

    @Parameter(names = "--seconds", description = "The seconds to keep running after the calls; 0 runs until Ctrl-C")
    private int seconds;

    @Override
    public int run() {
        showOnlyDecisions();
        Demo demo = Demo.start(System.out);
        boolean allComplete = demo.sendCalls();
        demo.showAddresses();
        if (seconds == 0) {
            System.out.println();
            System.out.println("running until Ctrl-C");
        }
        ProcessShutdown.runUntilShutdown(demo, Duration.ofSeconds(seconds));
        return allComplete ? ExitCodes.OK : ExitCodes.FAILED;
    }

    private static void showOnlyDecisions() {
        Logger.getLogger("org.mangowall").setLevel(Level.WARNING);
        Logger.getLogger("org.mangowall.decision").setLevel(Level.INFO);
    }
}
