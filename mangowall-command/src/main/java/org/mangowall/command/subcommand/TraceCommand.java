package org.mangowall.command.subcommand;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.mangowall.command.ClientOptions;
import org.mangowall.command.CommandContext;
import org.mangowall.command.Subcommand;
import org.mangowall.command.output.ExitCode;
import org.mangowall.command.output.Json;
import org.mangowall.command.output.Report;
import org.mangowall.command.output.TextTable;
import org.mangowall.kernel.failure.FailureCode;
import org.mangowall.kernel.failure.MangowallException;

/** Lists the events of a request from the log files of hosts, ordered by time. */
@Parameters(commandDescription = "Tell what became of a request, from log files of hosts")
public final class TraceCommand implements Subcommand {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final List<String> COLUMN_FIELDS = List.of("at", "host", "event", "request");

    @ParametersDelegate
    private final ClientOptions options = new ClientOptions();

    @Parameter(description = "REQUEST LOG...", required = true)
    private List<String> requestAndLogs;

    @Override
    public String pluginName() {
        return "trace";
    }

    @Override
    public ClientOptions options() {
        return options;
    }

    @Override
    public List<String> examples() {
        return List.of("mangowall trace 9c41d07be2a35f68 host-1.log host-2.log");
    }

    @Override
    public Report run(CommandContext context) {
        String request = requestAndLogs.getFirst();
        List<JsonNode> events = new ArrayList<>();
        for (String file : requestAndLogs.subList(1, requestAndLogs.size())) {
            events.addAll(readEvents(request, Path.of(file)));
        }
        events.sort(Comparator.comparingLong(event -> event.path("at").asLong()));
        ExitCode exitCode = events.isEmpty() ? ExitCode.REFUSED : ExitCode.DONE;
        return new Report(exitCode, toText(request, events), toJson(request, events));
    }

    private static List<JsonNode> readEvents(String request, Path file) {
        try (Stream<String> lines = Files.lines(file, StandardCharsets.UTF_8)) {
            return lines.filter(line -> line.contains(request))
                    .map(TraceCommand::parse)
                    .flatMap(Optional::stream)
                    .filter(event -> event.path("request").asText().equals(request))
                    .toList();
        } catch (IOException | UncheckedIOException failure) {
            throw new MangowallException(FailureCode.USAGE, "the log " + file + " can't be read", failure);
        }
    }

    private static Optional<JsonNode> parse(String line) {
        int start = line.indexOf('{');
        try {
            return start < 0 ? Optional.empty() : Optional.of(MAPPER.readTree(line.substring(start)));
        } catch (JsonProcessingException truncated) {
            // The last line in the log of a killed host may be truncated; the other lines are still valid.
            return Optional.empty();
        }
    }

    private static String toText(String request, List<JsonNode> events) {
        if (events.isEmpty()) {
            return "The logs hold nothing on request " + request + ".";
        }
        TextTable table = new TextTable("TIME", "HOST", "EVENT", "DETAILS");
        for (JsonNode event : events) {
            table.row(
                    Instant.ofEpochMilli(event.path("at").asLong()),
                    event.path("host").asText(),
                    event.path("event").asText(),
                    details(event));
        }
        return table.toString().stripTrailing();
    }

    private static String details(JsonNode event) {
        StringBuilder details = new StringBuilder();
        event.fieldNames().forEachRemaining(name -> {
            if (!COLUMN_FIELDS.contains(name)) {
                details.append(name)
                        .append('=')
                        .append(event.path(name).asText())
                        .append(' ');
            }
        });
        return details.toString().stripTrailing();
    }

    private static ObjectNode toJson(String request, List<JsonNode> events) {
        ObjectNode json = Json.object().put("request", request);
        ArrayNode records = json.putArray("records");
        events.forEach(records::add);
        return json;
    }
}
