package org.mangowall.command.subcommand;

import java.time.Instant;
import java.util.Comparator;
import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.mangowall.command.ClientOptions;
import org.mangowall.command.CommandContext;
import org.mangowall.command.Subcommand;
import org.mangowall.command.output.ExitCode;
import org.mangowall.command.output.Json;
import org.mangowall.command.output.Report;
import org.mangowall.command.output.TextTable;
import org.mangowall.kernel.name.RequestIdentifier;
import org.mangowall.protocol.operator.ExplanationDocument;
import org.mangowall.protocol.operator.ExplanationDocument.Decision;

/** Shows the routing decisions for a request that the named routers still hold in memory. */
@Parameters(commandDescription = "Tell why a request went where it did; REQUEST is the x-mangowall-request header")
public final class ExplainCommand implements Subcommand {

    @ParametersDelegate
    private final ClientOptions options = new ClientOptions();

    @Parameter(description = "REQUEST", required = true)
    private String requestArgument;

    @Override
    public String pluginName() {
        return "explain";
    }

    @Override
    public ClientOptions options() {
        return options;
    }

    @Override
    public List<String> examples() {
        return List.of("mangowall explain router-1~1~42 --settings mangowall.toml");
    }

    @Override
    public Report run(CommandContext context) {
        String requestIdentifier = RequestIdentifier.parse(requestArgument).toString();
        List<Decision> decisions = context.client().explain(requestIdentifier).stream()
                .map(ExplanationDocument::records)
                .flatMap(List::stream)
                .sorted(Comparator.comparingLong(Decision::atMillis))
                .toList();
        ExitCode exitCode = decisions.isEmpty() ? ExitCode.REFUSED : ExitCode.DONE;
        return new Report(exitCode, toText(requestIdentifier, decisions), toJson(requestIdentifier, decisions));
    }

    private static String toText(String requestIdentifier, List<Decision> decisions) {
        if (decisions.isEmpty()) {
            return "No named router remembers request " + requestIdentifier
                    + ". Routers keep the latest decisions only, and none after a restart.";
        }
        TextTable table = new TextTable("TIME", "ROUTER", "STEP", "WORKSPACE", "SERVICE", "RUNNER", "REASON");
        for (Decision decision : decisions) {
            table.row(
                    Instant.ofEpochMilli(decision.atMillis()),
                    decision.router(),
                    decision.step(),
                    decision.workspace(),
                    decision.service(),
                    decision.runner().isEmpty() ? "-" : decision.runner(),
                    decision.reason());
        }
        return table.toString().stripTrailing();
    }

    private static ObjectNode toJson(String requestIdentifier, List<Decision> decisions) {
        ObjectNode json = Json.object().put("request", requestIdentifier);
        ArrayNode records = json.putArray("records");
        for (Decision decision : decisions) {
            records.addObject()
                    .put("at", Instant.ofEpochMilli(decision.atMillis()).toString())
                    .put("router", decision.router())
                    .put("step", decision.step())
                    .put("workspace", decision.workspace())
                    .put("service", decision.service())
                    .put("runner", decision.runner())
                    .put("reason", decision.reason());
        }
        return json;
    }
}
