package org.mangowall.command.subcommand;

import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import org.mangowall.command.ClientOptions;
import org.mangowall.command.CommandContext;
import org.mangowall.command.Subcommand;
import org.mangowall.command.change.InventoryPlan;
import org.mangowall.command.client.StoredConfiguration;
import org.mangowall.command.output.Report;

/** Shows the changes that applying an inventory file would make. */
@Parameters(commandDescription = "Show what applying an inventory file would change; changes nothing")
public final class PlanCommand implements Subcommand {

    @ParametersDelegate
    private final ClientOptions options = new ClientOptions();

    @Parameter(description = "FILE", required = true)
    private String file;

    @Override
    public String pluginName() {
        return "plan";
    }

    @Override
    public ClientOptions options() {
        return options;
    }

    @Override
    public List<String> examples() {
        return List.of(
                "mangowall plan inventory.toml --routers 127.0.0.1:19301",
                "mangowall plan inventory.toml --settings mangowall.toml --output json");
    }

    @Override
    public Report run(CommandContext context) {
        InventoryFile inventoryFile = InventoryFile.read(file);
        StoredConfiguration stored = context.client().configuration();
        InventoryPlan plan = InventoryPlan.between(stored, inventoryFile.withStoredRules(stored));
        return Report.success(plan.toText(), plan.toJson());
    }
}
