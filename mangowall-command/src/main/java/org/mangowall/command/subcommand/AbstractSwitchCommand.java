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

/** A command that takes one thing of the inventory out of service or brings it back: a verb, then a name. */
abstract class AbstractSwitchCommand implements Subcommand {

    private static final int WORDS = 2;

    private final String kind;
    private final String outVerb;
    private final String backVerb;

    @ParametersDelegate
    private final ClientOptions options = new ClientOptions();

    @ParametersDelegate
    private final WaitOption wait = new WaitOption();

    AbstractSwitchCommand(String kind, String outVerb, String backVerb) {
        this.kind = kind;
        this.outVerb = outVerb;
        this.backVerb = backVerb;
    }

    /** The verb and the name as they were written. */
    abstract List<String> words();

    /** The change of the document; a name that breaks the syntax fails here, before any router is asked. */
    abstract UnaryOperator<InventoryDocument> change(String name, boolean out);

    @Override
    public final String pluginName() {
        return kind;
    }

    @Override
    public final ClientOptions options() {
        return options;
    }

    @Override
    public final Report run(CommandContext context) {
        if (words().size() != WORDS) {
            throw RuleChange.usage("write %s or %s".formatted(form(outVerb), form(backVerb)));
        }
        boolean out = isOut(words().getFirst());
        UnaryOperator<InventoryDocument> change = change(words().getLast(), out);
        return RuleChange.run(context, wait.duration(), change);
    }

    private String form(String verb) {
        return "%s %s %s".formatted(kind, verb, kind.toUpperCase(Locale.ROOT));
    }

    private boolean isOut(String verb) {
        if (verb.equals(outVerb)) {
            return true;
        }
        if (verb.equals(backVerb)) {
            return false;
        }
        throw RuleChange.usage("write %s or %s, not '%s'".formatted(outVerb, backVerb, verb));
    }
}
