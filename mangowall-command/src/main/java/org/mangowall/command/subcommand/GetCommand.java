package org.mangowall.command.subcommand;

import java.util.List;

import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.mangowall.command.ClientOptions;
import org.mangowall.command.CommandContext;
import org.mangowall.command.Subcommand;
import org.mangowall.command.client.StoredConfiguration;
import org.mangowall.command.output.Json;
import org.mangowall.command.output.Report;
import org.mangowall.inventory.document.InventoryDocument;
import org.mangowall.kernel.failure.FailureCode;
import org.mangowall.kernel.failure.MangowallException;

/** Prints the stored inventory in the format that the apply subcommand reads. */
@Parameters(commandDescription = "Print the stored inventory and rules as TOML that can be edited and applied")
public final class GetCommand implements Subcommand {

    @ParametersDelegate
    private final ClientOptions options = new ClientOptions();

    @Override
    public String pluginName() {
        return "get";
    }

    @Override
    public ClientOptions options() {
        return options;
    }

    @Override
    public List<String> examples() {
        return List.of("mangowall get --settings mangowall.toml > inventory.toml");
    }

    @Override
    public Report run(CommandContext context) {
        StoredConfiguration stored = context.client().configuration();
        InventoryDocument document = stored.document()
                .orElseThrow(() -> new MangowallException(
                        FailureCode.PLATFORM_OBJECT_MISSING, "there is no inventory yet; use mangowall apply"));
        ObjectNode json = Json.object().put("version", stored.version());
        json.set("inventory", Json.parse(document.toJson()));
        String text = "# Version " + stored.version() + "\n\n" + document.toToml();
        return Report.success(text.stripTrailing(), json);
    }
}
