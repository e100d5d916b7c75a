package org.mangowall.command.subcommand;

import java.util.List;
import java.util.Locale;
import java.util.function.UnaryOperator;

import com.beust.jcommander.ParametersDelegate;
import org.mangowall.command.ClientOptions;
import org.mangowall.command.CommandContext;
import org.mangowall.command.Subcommand;
import org.mangowall.command.output.Report;
import org.mangowall.inventory.document.InventoryDocument;

/** A subcommand that takes one inventory entry out of service or returns it; its arguments are a verb and a name. */
abstract class AbstractToggleCommand implements Subcommand {

    private static final int ARGUMENT_COUNT = 2;

    private final String name;
    private final String disableVerb;
    private final String enableVerb;

    @ParametersDelegate
    private final ClientOptions options = new ClientOptions();

    @ParametersDelegate
    private final WaitOption wait = new WaitOption();

    AbstractToggleCommand(String name, String disableVerb, String enableVerb) {
        this.name = name;
        this.disableVerb = disableVerb;
        this.enableVerb = enableVerb;
    }

    /** Returns the verb and the entry name as typed. */
    abstract List<String> arguments();

    /** Returns the change of the inventory; an invalid entry name fails here, before any router is called. */
    abstract UnaryOperator<InventoryDocument> change(String entryName, boolean disable);

    @Override
    public final String pluginName() {
        return name;
    }

    @Override
    public final ClientOptions options() {
        return options;
    }

    @Override
    public final Report run(CommandContext context) {
        if (arguments().size() != ARGUMENT_COUNT) {
            throw RuleChangeSupport.usageFailure(
                    "write %s or %s".formatted(usageForm(disableVerb), usageForm(enableVerb)));
        }
        boolean disable = isDisableVerb(arguments().getFirst());
        UnaryOperator<InventoryDocument> change = change(arguments().getLast(), disable);
        return RuleChangeSupport.run(context, wait.duration(), change);
    }

    private String usageForm(String verb) {
        return "%s %s %s".formatted(name, verb, name.toUpperCase(Locale.ROOT));
    }

    private boolean isDisableVerb(String verb) {
        if (verb.equals(disableVerb)) {
            return true;
        }
        if (verb.equals(enableVerb)) {
            return false;
        }
        throw RuleChangeSupport.usageFailure("write %s or %s, not '%s'".formatted(disableVerb, enableVerb, verb));
    }
}
