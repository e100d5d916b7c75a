package org.mangowall.command;

import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameters;
import org.mangowall.command.output.ExitCode;
import org.mangowall.command.output.TextTable;
import org.mangowall.kernel.plugin.PluginRegistry;

/** Builds the argument parser and formats the help. */
final class CommandHelp {

    private static final String PROGRAM = "mangowall";
    private static final int MAX_COLUMNS = 100;
    private static final List<String> HELP_ORDER = List.of(
            "validate", "plan", "apply", "get", "status", "zone", "runner", "workspace", "explain", "trace", "version");

    private CommandHelp() {}

    /** Returns the subcommands in the order of the help; subcommands without a defined position come last. */
    static Map<String, Subcommand> inHelpOrder(PluginRegistry<Subcommand> registry) {
        Map<String, Subcommand> subcommands = new LinkedHashMap<>();
        HELP_ORDER.stream()
                .filter(registry.names()::contains)
                .forEach(name -> subcommands.put(name, registry.find(name)));
        registry.names().forEach(name -> subcommands.putIfAbsent(name, registry.find(name)));
        return subcommands;
    }

    static JCommander parser(ClientOptions globalOptions, Map<String, Subcommand> subcommands) {
        JCommander.Builder builder = JCommander.newBuilder()
                .programName(PROGRAM)
                .columnSize(MAX_COLUMNS)
                .addObject(globalOptions);
        subcommands.forEach(builder::addCommand);
        return builder.build();
    }

    /** Formats the help of a subcommand, or of the whole program if the subcommand is null. */
    static String text(JCommander parser, Subcommand subcommand) {
        StringBuilder text = new StringBuilder();
        if (subcommand == null) {
            writeOverview(text, parser);
            return text.toString().stripTrailing();
        }
        parser.getUsageFormatter().usage(subcommand.pluginName(), text);
        text.append("\nExamples:\n");
        subcommand
                .examples()
                .forEach(example -> text.append("  ").append(example).append('\n'));
        return text.toString().stripTrailing();
    }

    private static void writeOverview(StringBuilder text, JCommander parser) {
        text.append("Usage: ").append(PROGRAM).append(" SUBCOMMAND [options]\n\n");
        TextTable subcommands = new TextTable("SUBCOMMAND", "WHAT IT DOES");
        parser.getCommands().forEach((name, command) -> subcommands.row(name, description(command)));
        text.append(subcommands);
        text.append("\nMost subcommands need --routers ADDRESS,ADDRESS or --settings FILE.\n");
        text.append("Write ").append(PROGRAM).append(" SUBCOMMAND --help for its options and examples.\n\n");
        TextTable exitCodes = new TextTable("EXIT CODE", "MEANING");
        Arrays.stream(ExitCode.values()).forEach(code -> exitCodes.row(code.code(), code.meaning()));
        text.append(exitCodes);
    }

    private static String description(JCommander command) {
        Object subcommand = command.getObjects().getFirst();
        return subcommand.getClass().getAnnotation(Parameters.class).commandDescription();
    }
}
