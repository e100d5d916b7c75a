package org.mangowall.command.subcommand;

import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.mangowall.command.ClientOptions;
import org.mangowall.command.CommandContext;
import org.mangowall.command.Subcommand;
import org.mangowall.command.output.Json;
import org.mangowall.command.output.Report;
import org.mangowall.inventory.document.InventoryDocument;

/** Checks an inventory file without calling a router. */
@Parameters(commandDescription = "Check an inventory file and list all its faults")
public final class ValidateCommand implements Subcommand {

    @ParametersDelegate
    private final ClientOptions options = new ClientOptions();

    @Parameter(description = "FILE", required = true)
    private String file;

    @Override
    public String pluginName() {
        return "validate";
    }

    @Override
    public ClientOptions options() {
        return options;
    }

    @Override
    public List<String> examples() {
        return List.of("mangowall validate examples/le-goff/inventory.toml");
    }

    @Override
    public Report run(CommandContext context) {
        InventoryDocument document = InventoryFile.read(file).document();
        int zones = document.regions().stream()
                .mapToInt(region -> region.zones().size())
                .sum();
        ObjectNode json = Json.object()
                .put("valid", true)
                .put("availability_zones", zones)
                .put("services", document.services().size())
                .put("runners", document.runners().size())
                .put("workspaces", document.workspaces().size())
                .put("stored_bytes", document.toJson().length);
        String text = file + " is valid: " + zones + " availability zones, "
                + document.services().size() + " services, "
                + document.runners().size() + " runners, "
                + document.workspaces().size() + " workspaces.";
        return Report.success(text, json);
    }
}
