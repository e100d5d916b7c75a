package org.mangowall.command.subcommand;

import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import org.mangowall.command.ClientOptions;
import org.mangowall.command.CommandContext;
import org.mangowall.command.Subcommand;
import org.mangowall.command.change.ConfigurationWriter;
import org.mangowall.command.change.InventoryPlan;
import org.mangowall.command.change.RolloutChecker;
import org.mangowall.command.change.WriteResult;
import org.mangowall.command.client.StoredConfiguration;
import org.mangowall.command.output.Report;
import org.mangowall.inventory.document.InventoryDocument;
import org.mangowall.kernel.failure.FailureCode;
import org.mangowall.kernel.failure.MangowallException;

/** Writes an inventory file to the platform; the command can safely be repeated after an interruption. */
@Parameters(commandDescription = "Check an inventory file, show the plan and put it in force")
public final class ApplyCommand implements Subcommand {

    private static final long ANY_VERSION = -1;

    @ParametersDelegate
    private final ClientOptions options = new ClientOptions();

    @ParametersDelegate
    private final WaitOption wait = new WaitOption();

    @Parameter(names = "--expect-version", description = "Refuse unless this version is stored, as shown by plan")
    private long expectedVersion = ANY_VERSION;

    @Parameter(description = "FILE", required = true)
    private String file;

    @Override
    public String pluginName() {
        return "apply";
    }

    @Override
    public ClientOptions options() {
        return options;
    }

    @Override
    public List<String> examples() {
        return List.of(
                "mangowall apply inventory.toml --settings mangowall.toml",
                "mangowall apply inventory.toml --settings mangowall.toml --expect-version 7 --wait 30s");
    }

    @Override
    public Report run(CommandContext context) {
        InventoryFile inventoryFile = InventoryFile.read(file);
        StoredConfiguration stored = context.client().configuration();
        InventoryDocument document = inventoryFile.withStoredRules(stored);
        InventoryPlan plan = InventoryPlan.between(stored, document);
        RolloutChecker rolloutChecker = new RolloutChecker(context);
        if (plan.isEmpty()) {
            return rolloutChecker.report(new WriteResult(plan, stored.version()), wait.duration());
        }
        requireExpectedVersion(stored);
        long version = new ConfigurationWriter(context.client(), context.pause()).write(stored.version(), document);
        return rolloutChecker.report(new WriteResult(plan, version), wait.duration());
    }

    private void requireExpectedVersion(StoredConfiguration stored) {
        if (expectedVersion != ANY_VERSION && expectedVersion != stored.version()) {
            throw new MangowallException(
                    FailureCode.PLATFORM_CONFLICT,
                    "version " + stored.version() + " is stored, not " + expectedVersion + "; nothing was written");
        }
    }
}
