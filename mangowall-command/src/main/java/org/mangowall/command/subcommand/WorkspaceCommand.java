package org.mangowall.command.subcommand;

import java.util.ArrayList;
import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import org.mangowall.command.ClientOptions;
import org.mangowall.command.CommandContext;
import org.mangowall.command.Subcommand;
import org.mangowall.command.output.Report;
import org.mangowall.inventory.document.InventoryDocument;
import org.mangowall.kernel.name.WorkspaceName;

/** Sets the weights of workspaces. */
@Parameters(commandDescription = "Set the weight of a workspace; it goes before the weight in the inventory")
public final class WorkspaceCommand implements Subcommand {

    private static final int ARGUMENT_COUNT = 3;

    @ParametersDelegate
    private final ClientOptions options = new ClientOptions();

    @ParametersDelegate
    private final WaitOption wait = new WaitOption();

    @Parameter(description = "weight WORKSPACE NUMBER", required = true)
    private List<String> arguments = new ArrayList<>();

    @Override
    public String pluginName() {
        return "workspace";
    }

    @Override
    public ClientOptions options() {
        return options;
    }

    @Override
    public List<String> examples() {
        return List.of("mangowall workspace weight bureau-auray 2.5 --settings mangowall.toml");
    }

    @Override
    public Report run(CommandContext context) {
        if (arguments.size() != ARGUMENT_COUNT || !arguments.getFirst().equals("weight")) {
            throw RuleChangeSupport.usageFailure("write workspace weight WORKSPACE NUMBER");
        }
        WorkspaceName name = new WorkspaceName(arguments.get(1));
        double weight = parseWeight(arguments.getLast());
        return RuleChangeSupport.run(context, wait.duration(), document -> change(document, name, weight));
    }

    private static double parseWeight(String text) {
        double weight;
        try {
            weight = Double.parseDouble(text);
        } catch (NumberFormatException failure) {
            weight = Double.NaN;
        }
        if (!(weight >= InventoryDocument.MINIMUM_WEIGHT && weight <= InventoryDocument.MAXIMUM_WEIGHT)) {
            throw RuleChangeSupport.usageFailure("a weight is a number from " + InventoryDocument.MINIMUM_WEIGHT
                    + " to " + InventoryDocument.MAXIMUM_WEIGHT + ", not '" + text + "'");
        }
        return weight;
    }

    private static InventoryDocument change(InventoryDocument document, WorkspaceName name, double weight) {
        boolean exists = document.toInventory(0).workspaces().containsKey(name);
        RuleChangeSupport.requireExists(exists, "workspace", name);
        return document.withRules(document.rules().withWeight(name, weight));
    }
}
