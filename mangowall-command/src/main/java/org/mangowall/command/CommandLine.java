package org.mangowall.command;

import java.io.PrintStream;
import java.time.Clock;
import java.util.Map;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.mangowall.command.client.OperatorClient;
import org.mangowall.command.output.ExitCode;
import org.mangowall.command.output.Json;
import org.mangowall.command.output.OutputFormat;
import org.mangowall.command.output.Report;
import org.mangowall.kernel.failure.FailureCode;
import org.mangowall.kernel.failure.MangowallException;
import org.mangowall.kernel.plugin.PluginRegistry;

/** Runs the command line: parses the arguments, runs the subcommand and prints its report. */
public final class CommandLine {

    private final PrintStream output;
    private final PrintStream errorOutput;
    private final Clock clock;
    private final Runnable pause;

    /** Creates a command line with its output streams, clock and pause between polls. */
    public CommandLine(PrintStream output, PrintStream errorOutput, Clock clock, Runnable pause) {
        this.output = output;
        this.errorOutput = errorOutput;
        this.clock = clock;
        this.pause = pause;
    }

    /** Runs the subcommand that the arguments name and returns the exit code of the process. */
    public ExitCode run(String... arguments) {
        Map<String, Subcommand> subcommands = loadSubcommands();
        ClientOptions globalOptions = new ClientOptions();
        JCommander parser = CommandHelp.parser(globalOptions, subcommands);
        try {
            parser.parse(arguments);
        } catch (ParameterException invalidArguments) {
            return reportFailure(OutputFormat.TEXT, FailureCode.USAGE, invalidArguments.getMessage());
        }
        Subcommand subcommand = subcommands.get(parser.getParsedCommand());
        if (globalOptions.help() || subcommand != null && subcommand.options().help()) {
            output.println(CommandHelp.text(parser, subcommand));
            return ExitCode.DONE;
        }
        if (subcommand == null) {
            return reportFailure(OutputFormat.TEXT, FailureCode.USAGE, "no subcommand is given");
        }
        return run(subcommand);
    }

    private static Map<String, Subcommand> loadSubcommands() {
        PluginRegistry<Subcommand> registry = PluginRegistry.load(Subcommand.class);
        return CommandHelp.inHelpOrder(registry);
    }

    private ExitCode run(Subcommand subcommand) {
        OutputFormat format = OutputFormat.TEXT;
        try {
            ClientSettings settings = ClientSettingsReader.read(subcommand.options());
            format = settings.output();
            return printReport(format, run(subcommand, settings));
        } catch (MangowallException failure) {
            return reportFailure(format, failure.failureCode(), failure.getMessage());
        } catch (RuntimeException exception) {
            return reportFailure(format, FailureCode.INTERNAL, "a fault in the program: " + exception);
        }
    }

    private Report run(Subcommand subcommand, ClientSettings settings) {
        try (OperatorClient client = new OperatorClient(settings.routers(), settings.timeout(), settings.tokenFile())) {
            return subcommand.run(new CommandContext(client, clock, pause));
        }
    }

    private ExitCode printReport(OutputFormat format, Report report) {
        String text = switch (format) {
            case TEXT -> report.text();
            case JSON -> Json.prettyPrint(report.json());
        };
        output.println(text);
        return report.exitCode();
    }

    private ExitCode reportFailure(OutputFormat format, FailureCode code, String detail) {
        if (format == OutputFormat.TEXT) {
            printFailure(code, detail);
            return ExitCode.of(code);
        }
        ObjectNode node = Json.object();
        node.putObject("failure").put("code", code.code()).put("detail", detail);
        output.println(Json.prettyPrint(node));
        return ExitCode.of(code);
    }

    private void printFailure(FailureCode code, String detail) {
        errorOutput.println("mangowall: " + code.code() + ": " + detail);
        if (code == FailureCode.USAGE) {
            errorOutput.println("Try mangowall --help.");
        }
    }
}
