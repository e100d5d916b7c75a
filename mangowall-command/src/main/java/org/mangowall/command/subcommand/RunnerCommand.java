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
import org.mangowall.kernel.name.RunnerName;

/** Drains runners and returns them to service. */
@Parameters(commandDescription = "Give a runner no new work, or return it to service")
public final class RunnerCommand implements Subcommand {

    private static final int WORDS = 2;

    @ParametersDelegate
    private final ClientOptions options = new ClientOptions();

    @ParametersDelegate
    private final WaitOption wait = new WaitOption();

    @Parameter(description = "drain|return RUNNER", required = true)
    private List<String> words = new ArrayList<>();

    @Override
    public String pluginName() {
        return "runner";
    }

    @Override
    public ClientOptions options() {
        return options;
    }

    @Override
    public List<String> examples() {
        return List.of(
                "mangowall runner drain caisse-rennes --settings mangowall.toml",
                "mangowall runner return caisse-rennes --settings mangowall.toml");
    }

    @Override
    public Report run(CommandContext context) {
        if (words.size() != WORDS) {
            throw RuleChange.usage("write runner drain RUNNER or runner return RUNNER");
        }
        boolean drain = isDrain(words.getFirst());
        RunnerName name = new RunnerName(words.getLast());
        return RuleChange.run(context, wait.duration(), document -> change(document, name, drain));
    }

    private static boolean isDrain(String verb) {
        return switch (verb) {
            case "drain" -> true;
            case "return" -> false;
            default -> throw RuleChange.usage("write drain or return, not '" + verb + "'");
        };
    }

    private static InventoryDocument change(InventoryDocument document, RunnerName name, boolean drain) {
        boolean known = document.toInventory(0).runners().containsKey(name);
        RuleChange.requireKnown(known, "runner", name);
        return document.withRules(document.rules().withRunner(name, drain));
    }
}
