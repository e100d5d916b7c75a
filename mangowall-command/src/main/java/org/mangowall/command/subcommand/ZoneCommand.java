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
import org.mangowall.kernel.name.ZoneName;

/** Closes and opens availability zones. */
@Parameters(commandDescription = "Take an availability zone out of service, or bring it back")
public final class ZoneCommand implements Subcommand {

    private static final int WORDS = 2;

    @ParametersDelegate
    private final ClientOptions options = new ClientOptions();

    @ParametersDelegate
    private final WaitOption wait = new WaitOption();

    @Parameter(description = "close|open ZONE", required = true)
    private List<String> words = new ArrayList<>();

    @Override
    public String pluginName() {
        return "zone";
    }

    @Override
    public ClientOptions options() {
        return options;
    }

    @Override
    public List<String> examples() {
        return List.of(
                "mangowall zone close rennes --settings mangowall.toml",
                "mangowall zone open rennes --settings mangowall.toml");
    }

    @Override
    public Report run(CommandContext context) {
        if (words.size() != WORDS) {
            throw RuleChange.usage("write zone close ZONE or zone open ZONE");
        }
        boolean close = isClose(words.getFirst());
        ZoneName name = new ZoneName(words.getLast());
        return RuleChange.run(context, wait.duration(), document -> change(document, name, close));
    }

    private static boolean isClose(String verb) {
        return switch (verb) {
            case "close" -> true;
            case "open" -> false;
            default -> throw RuleChange.usage("write close or open, not '" + verb + "'");
        };
    }

    private static InventoryDocument change(InventoryDocument document, ZoneName name, boolean close) {
        boolean known = document.toInventory(0).zones().containsKey(name);
        RuleChange.requireKnown(known, "availability zone", name);
        return document.withRules(document.rules().withZone(name, close));
    }
}
