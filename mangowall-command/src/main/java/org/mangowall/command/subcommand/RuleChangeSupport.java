package org.mangowall.command.subcommand;

import java.time.Duration;
import java.util.function.UnaryOperator;

import org.mangowall.command.CommandContext;
import org.mangowall.command.change.ConfigurationWriter;
import org.mangowall.command.change.RolloutChecker;
import org.mangowall.command.change.WriteResult;
import org.mangowall.command.output.Report;
import org.mangowall.inventory.document.InventoryDocument;
import org.mangowall.kernel.failure.FailureCode;
import org.mangowall.kernel.failure.MangowallException;

/** Shared code of the subcommands that change one rule. */
final class RuleChangeSupport {

    private RuleChangeSupport() {}

    static Report run(CommandContext context, Duration wait, UnaryOperator<InventoryDocument> change) {
        WriteResult result = new ConfigurationWriter(context.client(), context.pause()).changeRules(change);
        return new RolloutChecker(context).report(result, wait);
    }

    static void requireExists(boolean exists, String kind, Object name) {
        if (!exists) {
            throw usageFailure("the inventory has no " + kind + " '" + name + "'");
        }
    }

    static MangowallException usageFailure(String detail) {
        return new MangowallException(FailureCode.USAGE, detail);
    }
}
