package org.mangowall.command.subcommand;

import java.util.ArrayList;
import java.util.List;
import java.util.function.UnaryOperator;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import org.mangowall.inventory.document.InventoryDocument;
import org.mangowall.kernel.name.ZoneName;

/** Closes and opens availability zones. */
@Parameters(commandDescription = "Take an availability zone out of service, or bring it back")
public final class ZoneCommand extends AbstractToggleCommand {

    @Parameter(description = "close|open ZONE", required = true)
    private List<String> arguments = new ArrayList<>();

    /** Creates the subcommand; JCommander fills in the arguments later. */
    public ZoneCommand() {
        super("zone", "close", "open");
    }

    @Override
    public List<String> examples() {
        return List.of(
                "mangowall zone close rennes --settings mangowall.toml",
                "mangowall zone open rennes --settings mangowall.toml");
    }

    @Override
    List<String> arguments() {
        return arguments;
    }

    @Override
    UnaryOperator<InventoryDocument> change(String name, boolean closed) {
        ZoneName zone = new ZoneName(name);
        return document -> {
            boolean exists = document.toInventory(0).zones().containsKey(zone);
            RuleChangeSupport.requireExists(exists, "availability zone", zone);
            return document.withRules(document.rules().withZone(zone, closed));
        };
    }
}
