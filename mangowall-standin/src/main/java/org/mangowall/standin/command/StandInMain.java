package org.mangowall.standin.command;

import java.io.PrintStream;
import java.util.LinkedHashMap;
import java.util.Map;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import org.mangowall.inventory.checked.SettingsException;
import org.mangowall.kernel.failure.MangowallException;

/** Entry point of the program {@code mangowall-standin}. */
public final class StandInMain {

    private static final String PROGRAM = "mangowall-standin";

    private StandInMain() {}

    /** Runs a subcommand; an invalid command line or invalid settings end the process with exit code 2. */
    public static void main(String[] arguments) {
        System.setProperty("java.util.logging.manager", "org.jboss.logmanager.LogManager");
        System.exit(run(arguments, System.out, System.err));
    }

    static int run(String[] arguments, PrintStream out, PrintStream err) {
        Map<String, StandInCommand> commands = new LinkedHashMap<>();
        commands.put("platform", new PlatformCommand());
        commands.put("engine", new EngineCommand());
        commands.put("plain", new PlainCommand());
        commands.put("caller", new CallerCommand());
        commands.put("demo", new DemoCommand());
        JCommander.Builder builder = JCommander.newBuilder().programName(PROGRAM);
        commands.forEach(builder::addCommand);
        JCommander parser = builder.build();
        try {
            parser.parse(arguments);
        } catch (ParameterException failure) {
            err.println(PROGRAM + ": " + failure.getMessage());
            return ExitCodes.USAGE;
        }
        StandInCommand command = commands.get(parser.getParsedCommand());
        if (command == null) {
            StringBuilder help = new StringBuilder();
            parser.getUsageFormatter().usage(help);
            out.print(help);
            return ExitCodes.USAGE;
        }
        return run(command, err);
    }

    private static int run(StandInCommand command, PrintStream err) {
        try {
            return command.run();
        } catch (SettingsException failure) {
            err.println(PROGRAM + ": " + failure.getMessage());
            return ExitCodes.USAGE;
        } catch (MangowallException failure) {
            err.println(PROGRAM + ": " + failure.failureCode().code() + ": " + failure.getMessage());
            return ExitCodes.FAILED;
        }
    }
}
