package org.mangowall.command.subcommand;

import java.util.List;
import java.util.Optional;

import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import org.mangowall.command.ClientOptions;
import org.mangowall.command.CommandContext;
import org.mangowall.command.Subcommand;
import org.mangowall.command.client.RouterStatus;
import org.mangowall.command.output.ExitCode;
import org.mangowall.command.output.Report;
import org.mangowall.command.status.FleetStatus;
import org.mangowall.command.status.FleetStatusJson;
import org.mangowall.command.status.FleetStatusText;
import org.mangowall.inventory.Inventory;
import org.mangowall.kernel.failure.MangowallException;

/** Shows the status of the fleet, aggregated over all named routers. */
@Parameters(commandDescription = "Show routers, availability zones, runners, services and workspaces")
public final class StatusCommand implements Subcommand {

    @ParametersDelegate
    private final ClientOptions options = new ClientOptions();

    @Override
    public String pluginName() {
        return "status";
    }

    @Override
    public ClientOptions options() {
        return options;
    }

    @Override
    public List<String> examples() {
        return List.of(
                "mangowall status --settings mangowall.toml",
                "mangowall status --routers 127.0.0.1:19301 --output json");
    }

    @Override
    public Report run(CommandContext context) {
        List<RouterStatus> statuses = context.client().status();
        boolean isAnyAvailable = statuses.stream().anyMatch(RouterStatus.Available.class::isInstance);
        FleetStatus fleet = FleetStatus.of(statuses, isAnyAvailable ? readInventory(context) : Optional.empty());
        ExitCode exitCode = isAnyAvailable ? ExitCode.DONE : exitCodeOf(statuses);
        return new Report(exitCode, FleetStatusText.write(fleet), FleetStatusJson.write(fleet));
    }

    private static ExitCode exitCodeOf(List<RouterStatus> statuses) {
        return switch (statuses.getFirst()) {
            case RouterStatus.Available available -> ExitCode.DONE;
            case RouterStatus.Unavailable unavailable ->
                switch (unavailable.failure().failureCode()) {
                    case NOT_AUTHENTICATED -> ExitCode.REFUSED;
                    default -> ExitCode.UNREACHABLE;
                };
        };
    }

    private static Optional<Inventory> readInventory(CommandContext context) {
        try {
            return context.client().configuration().document().map(document -> document.toInventory(0));
        } catch (MangowallException readFailure) {
            return Optional.empty();
        }
    }
}
