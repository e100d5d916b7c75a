package org.mangowall.command;

import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.mangowall.command.output.OutputFormat;
import org.mangowall.inventory.checked.CheckedTable;
import org.mangowall.inventory.checked.HostAndPort;
import org.mangowall.inventory.checked.UnitSyntax;
import org.mangowall.kernel.failure.FailureCode;
import org.mangowall.kernel.failure.MangowallException;

/** Merges the settings file and the command-line options. */
public final class ClientSettingsReader {

    private static final Duration DEFAULT_TIMEOUT = Duration.ofSeconds(5);
    private static final Duration MINIMUM_TIMEOUT = Duration.ofMillis(10);
    private static final Duration MAXIMUM_TIMEOUT = Duration.ofMinutes(10);

    private ClientSettingsReader() {}

    /**
     * Reads the settings file, if one is given, and applies the options to it.
     *
     * @throws MangowallException with {@link FailureCode#USAGE} or {@link FailureCode#SETTINGS_INVALID}
     */
    public static ClientSettings read(ClientOptions options) {
        ClientSettings fileSettings = options.settingsFile() == null
                ? new ClientSettings(List.of(), Optional.empty(), DEFAULT_TIMEOUT, OutputFormat.TEXT)
                : readFile(Path.of(options.settingsFile()));
        List<HostAndPort> routers =
                options.routers().isEmpty() ? fileSettings.routers() : parseRouters(options.routers());
        Optional<Path> tokenFile =
                options.tokenFile() == null ? fileSettings.tokenFile() : Optional.of(Path.of(options.tokenFile()));
        Duration timeout = options.timeout() == null ? fileSettings.timeout() : parseTimeout(options.timeout());
        OutputFormat output = options.output() == null ? fileSettings.output() : parseOutput(options.output());
        return new ClientSettings(routers, tokenFile, timeout, output);
    }

    /**
     * Reads a settings file.
     *
     * @throws org.mangowall.inventory.checked.SettingsException with all faults of the file
     */
    public static ClientSettings readFile(Path file) {
        CheckedTable table = CheckedTable.readToml(file);
        List<HostAndPort> routers = table.addresses("routers");
        Optional<Path> tokenFile = table.optionalText("token_file").map(Path::of);
        Duration timeout = table.duration("timeout", MINIMUM_TIMEOUT, MAXIMUM_TIMEOUT, DEFAULT_TIMEOUT);
        String outputText = table.text("output", "text");
        Optional<OutputFormat> output = findOutput(outputText);
        if (output.isEmpty()) {
            table.fault("output", "\"text\" or \"json\"");
        }
        table.finish();
        return new ClientSettings(routers, tokenFile, timeout, output.orElse(OutputFormat.TEXT));
    }

    /** Parses a duration option; {@code 0s} is allowed. */
    public static Duration parseDuration(String option, String text) {
        return UnitSyntax.parseDuration(text)
                .filter(duration -> duration.compareTo(MAXIMUM_TIMEOUT) <= 0)
                .orElseThrow(() -> usageFailure(option + " must be a duration up to 10m with its unit, such as 3s"));
    }

    private static Duration parseTimeout(String text) {
        Duration timeout = parseDuration("--timeout", text);
        if (timeout.compareTo(MINIMUM_TIMEOUT) < 0) {
            throw usageFailure("--timeout must be at least 10ms");
        }
        return timeout;
    }

    private static OutputFormat parseOutput(String text) {
        return findOutput(text).orElseThrow(() -> usageFailure("--output must be text or json"));
    }

    private static Optional<OutputFormat> findOutput(String text) {
        return switch (text) {
            case "text" -> Optional.of(OutputFormat.TEXT);
            case "json" -> Optional.of(OutputFormat.JSON);
            default -> Optional.empty();
        };
    }

    private static List<HostAndPort> parseRouters(List<String> texts) {
        List<HostAndPort> routers = new ArrayList<>();
        for (String text : texts) {
            routers.add(UnitSyntax.parseAddress(text)
                    .filter(address -> address.port() > 0)
                    .orElseThrow(() ->
                            usageFailure("--routers must be IP addresses with ports, but there is '" + text + "'")));
        }
        return routers;
    }

    private static MangowallException usageFailure(String detail) {
        return new MangowallException(FailureCode.USAGE, detail);
    }
}
