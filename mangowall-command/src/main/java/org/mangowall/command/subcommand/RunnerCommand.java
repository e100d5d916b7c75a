package org.mangowall.command.subcommand;

import java.util.ArrayList;
import java.util.List;
import java.util.function.UnaryOperator;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import org.mangowall.inventory.document.InventoryDocument;
import org.mangowall.kernel.name.RunnerName;

/** Drains runners and returns them to service. */
@Parameters(commandDescription = "Give a runner no new work, or return it to service")
public final class RunnerCommand extends AbstractToggleCommand {

    @Parameter(description = "drain|return RUNNER", required = true)
    private List<String> arguments = new ArrayList<>();

    /** Creates the subcommand; JCommander fills in the arguments later. */
    public RunnerCommand() {
        super("runner", "drain", "return");
    }

    @Override
    public List<String> examples() {
        return List.of(
                "mangowall runner drain caisse-rennes --settings mangowall.toml",
                "mangowall runner return caisse-rennes --settings mangowall.toml");
    }

    @Override
    List<String> arguments() {
        return arguments;
    }

    @Override
    UnaryOperator<InventoryDocument> change(String name, boolean draining) {
        RunnerName runner = new RunnerName(name);
        return document -> {
            boolean exists = document.toInventory(0).runners().containsKey(runner);
            RuleChangeSupport.requireExists(exists, "runner", runner);
            return document.withRules(document.rules().withRunner(runner, draining));
        };
    }
}
