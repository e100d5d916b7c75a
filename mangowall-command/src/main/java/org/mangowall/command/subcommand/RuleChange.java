package org.mangowall.command.subcommand;

import java.time.Duration;
import java.util.function.UnaryOperator;

import org.mangowall.command.CommandContext;
import org.mangowall.command.change.ConfigurationWriter;
import org.mangowall.command.change.ForceCheck;
import org.mangowall.command.change.WrittenChange;
import org.mangowall.command.output.Report;
import org.mangowall.inventory.document.InventoryDocument;
import org.mangowall.kernel.failure.FailureCode;
import org.mangowall.kernel.failure.MangowallException;

/** What the subcommands that change one rule have in common. */
final class RuleChange {

    private RuleChange() {}

    static Report run(CommandContext context, Duration wait, UnaryOperator<InventoryDocument> change) {
        WrittenChange written = new ConfigurationWriter(context.client(), context.pause()).changeRules(change);
        return new ForceCheck(context).report(written, wait);
    }

    static void requireKnown(boolean known, String kind, Object name) {
        if (!known) {
            throw usage("the inventory has no " + kind + " '" + name + "'");
        }
    }

    static MangowallException usage(String detail) {
        return new MangowallException(FailureCode.USAGE, detail);
    }
}
