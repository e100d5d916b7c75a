package org.mangowall.command.change;

import java.util.Arrays;
import java.util.Map;
import java.util.function.UnaryOperator;

import org.mangowall.command.client.OperatorClient;
import org.mangowall.command.client.StoredConfiguration;
import org.mangowall.inventory.Inventory;
import org.mangowall.inventory.document.InventoryDocument;
import org.mangowall.inventory.document.RuleSet;
import org.mangowall.kernel.failure.FailureCode;
import org.mangowall.kernel.failure.MangowallException;
import org.mangowall.kernel.name.RunnerName;
import org.mangowall.kernel.name.WorkspaceName;
import org.mangowall.kernel.name.ZoneName;

/** Writes inventories conditionally and finds out what became of a write whose answer was lost. */
public final class ConfigurationWriter {

    private static final int LOST_ANSWER_TRIES = 3;
    private static final int CONFLICT_TRIES = 5;

    private final OperatorClient client;
    private final Runnable pause;

    /** Creates a writer that waits for a moment between tries. */
    public ConfigurationWriter(OperatorClient client, Runnable pause) {
        this.client = client;
        this.pause = pause;
    }

    /**
     * Writes a document over the version that it was planned against.
     *
     * @return the version that holds the document
     * @throws MangowallException with {@link FailureCode#PLATFORM_CONFLICT} when another operator won, with
     *     {@link FailureCode#PLATFORM_ANSWER_LOST} when it is not known what became of the write
     */
    public long write(long baseVersion, InventoryDocument document) {
        boolean answerLost = false;
        for (int attempt = 1; ; attempt++) {
            try {
                return client.write(baseVersion, document);
            } catch (MangowallException failure) {
                StoredConfiguration stored = readBack(failure);
                if (holds(stored, document) && stored.version() > baseVersion) {
                    return stored.version();
                }
                boolean conflict = failure.failureCode() == FailureCode.PLATFORM_CONFLICT;
                if (conflict && !answerLost) {
                    throw conflict(baseVersion, stored.version());
                }
                if (conflict || attempt == LOST_ANSWER_TRIES || stored.version() > baseVersion) {
                    throw unknown(failure);
                }
                answerLost = true;
                pause.run();
            }
        }
    }

    /**
     * Changes the rules of whatever inventory is stored; when another operator is faster, the change is made on top of
     * theirs.
     *
     * @return what was planned and the version that holds it
     */
    public WrittenChange changeRules(UnaryOperator<InventoryDocument> change) {
        for (int attempt = 1; ; attempt++) {
            StoredConfiguration stored = client.configuration();
            InventoryDocument document = change.apply(requireDocument(stored));
            InventoryPlan plan = InventoryPlan.between(stored, document);
            if (plan.isEmpty()) {
                return new WrittenChange(plan, stored.version());
            }
            try {
                return new WrittenChange(plan, write(stored.version(), document));
            } catch (MangowallException failure) {
                if (failure.failureCode() != FailureCode.PLATFORM_CONFLICT || attempt == CONFLICT_TRIES) {
                    throw failure;
                }
                pause.run();
            }
        }
    }

    /** The rules that still have their subjects in another document. */
    public static RuleSet keepRules(RuleSet rules, InventoryDocument document) {
        RuleSet kept = RuleSet.empty();
        Inventory inventory = document.toInventory(0);
        for (ZoneName zone : rules.closedZones()) {
            kept = inventory.zones().containsKey(zone) ? kept.withZone(zone, true) : kept;
        }
        for (RunnerName runner : rules.drainingRunners()) {
            kept = inventory.runners().containsKey(runner) ? kept.withRunner(runner, true) : kept;
        }
        for (Map.Entry<WorkspaceName, Double> weight : rules.workspaceWeights().entrySet()) {
            boolean known = inventory.workspaces().containsKey(weight.getKey());
            kept = known ? kept.withWeight(weight.getKey(), weight.getValue()) : kept;
        }
        return kept;
    }

    private StoredConfiguration readBack(MangowallException failure) {
        switch (failure.failureCode()) {
            case PLATFORM_CONFLICT, PLATFORM_ANSWER_LOST -> {
                try {
                    return client.configuration();
                } catch (MangowallException unreadable) {
                    throw failure.failureCode() == FailureCode.PLATFORM_CONFLICT ? failure : unknown(unreadable);
                }
            }
            default -> throw failure;
        }
    }

    private static boolean holds(StoredConfiguration stored, InventoryDocument document) {
        return stored.document()
                .map(present -> Arrays.equals(present.toJson(), document.toJson()))
                .orElse(false);
    }

    private static InventoryDocument requireDocument(StoredConfiguration stored) {
        return stored.document()
                .orElseThrow(() -> new MangowallException(
                        FailureCode.PLATFORM_OBJECT_MISSING, "there is no inventory yet; use mangowall apply first"));
    }

    private static MangowallException conflict(long baseVersion, long presentVersion) {
        return new MangowallException(
                FailureCode.PLATFORM_CONFLICT,
                "another operator was faster: the inventory has changed since version " + baseVersion
                        + (presentVersion > baseVersion ? " and is now version " + presentVersion : "")
                        + ". Nothing of this change was written. Look at mangowall plan and repeat.");
    }

    private static MangowallException unknown(MangowallException cause) {
        return new MangowallException(
                FailureCode.PLATFORM_ANSWER_LOST,
                "it is not known whether the change was accepted. It is safe to repeat the command.\n  "
                        + cause.getMessage(),
                cause);
    }
}
