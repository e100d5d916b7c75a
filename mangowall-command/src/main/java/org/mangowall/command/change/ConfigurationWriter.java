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

/** Writes inventories conditionally and reads them back when the response to a write is lost. */
public final class ConfigurationWriter {

    private static final int MAX_WRITE_ATTEMPTS = 3;
    private static final int MAX_RULE_CHANGE_ATTEMPTS = 5;

    private final OperatorClient client;
    private final Runnable pause;

    /** Creates a writer that runs {@code pause} between attempts. */
    public ConfigurationWriter(OperatorClient client, Runnable pause) {
        this.client = client;
        this.pause = pause;
    }

    /**
     * Replaces the stored document if it still has the version that the change was planned against.
     *
     * @return the version under which the document is stored
     * @throws MangowallException with {@link FailureCode#PLATFORM_CONFLICT} when the stored version has changed, with
     *     {@link FailureCode#PLATFORM_ANSWER_LOST} when it is not known whether the write took effect
     */
    public long write(long baseVersion, InventoryDocument document) {
        boolean hasLostResponse = false;
        for (int attempt = 1; ; attempt++) {
            try {
                return client.write(baseVersion, document);
            } catch (MangowallException failure) {
                StoredConfiguration stored = readBack(failure);
                if (isStored(stored, document) && stored.version() > baseVersion) {
                    return stored.version();
                }
                boolean isConflict = failure.failureCode() == FailureCode.PLATFORM_CONFLICT;
                if (isConflict && !hasLostResponse) {
                    throw conflict(baseVersion, stored.version());
                }
                if (isConflict || attempt == MAX_WRITE_ATTEMPTS || stored.version() > baseVersion) {
                    throw unknownOutcome(failure);
                }
                hasLostResponse = true;
                pause.run();
            }
        }
    }

    /**
     * Changes the rules of the stored inventory. After a conflict with another operator's write, the change is applied
     * again to the inventory that is stored now.
     *
     * @return the plan and the version under which the changed inventory is stored
     */
    public WriteResult changeRules(UnaryOperator<InventoryDocument> change) {
        for (int attempt = 1; ; attempt++) {
            StoredConfiguration stored = client.configuration();
            InventoryDocument document = change.apply(requireDocument(stored));
            InventoryPlan plan = InventoryPlan.between(stored, document);
            if (plan.isEmpty()) {
                return new WriteResult(plan, stored.version());
            }
            try {
                return new WriteResult(plan, write(stored.version(), document));
            } catch (MangowallException failure) {
                if (failure.failureCode() != FailureCode.PLATFORM_CONFLICT || attempt == MAX_RULE_CHANGE_ATTEMPTS) {
                    throw failure;
                }
                pause.run();
            }
        }
    }

    /** Returns those rules whose zone, runner or workspace also exists in the given document. */
    public static RuleSet retainApplicableRules(RuleSet rules, InventoryDocument document) {
        RuleSet retained = RuleSet.empty();
        Inventory inventory = document.toInventory(0);
        for (ZoneName zone : rules.closedZones()) {
            retained = inventory.zones().containsKey(zone) ? retained.withZone(zone, true) : retained;
        }
        for (RunnerName runner : rules.drainingRunners()) {
            retained = inventory.runners().containsKey(runner) ? retained.withRunner(runner, true) : retained;
        }
        for (Map.Entry<WorkspaceName, Double> weight : rules.workspaceWeights().entrySet()) {
            boolean isKnown = inventory.workspaces().containsKey(weight.getKey());
            retained = isKnown ? retained.withWeight(weight.getKey(), weight.getValue()) : retained;
        }
        return retained;
    }

    private StoredConfiguration readBack(MangowallException failure) {
        switch (failure.failureCode()) {
            case PLATFORM_CONFLICT, PLATFORM_ANSWER_LOST -> {
                try {
                    return client.configuration();
                } catch (MangowallException readFailure) {
                    throw failure.failureCode() == FailureCode.PLATFORM_CONFLICT
                            ? failure
                            : unknownOutcome(readFailure);
                }
            }
            default -> throw failure;
        }
    }

    private static boolean isStored(StoredConfiguration stored, InventoryDocument document) {
        return stored.document()
                .map(storedDocument -> Arrays.equals(storedDocument.toJson(), document.toJson()))
                .orElse(false);
    }

    private static InventoryDocument requireDocument(StoredConfiguration stored) {
        return stored.document()
                .orElseThrow(() -> new MangowallException(
                        FailureCode.PLATFORM_OBJECT_MISSING, "there is no inventory yet; use mangowall apply first"));
    }

    private static MangowallException conflict(long baseVersion, long storedVersion) {
        return new MangowallException(
                FailureCode.PLATFORM_CONFLICT,
                "another operator was faster: the inventory has changed since version " + baseVersion
                        + (storedVersion > baseVersion ? " and is now version " + storedVersion : "")
                        + ". Nothing of this change was written. Look at mangowall plan and repeat.");
    }

    private static MangowallException unknownOutcome(MangowallException cause) {
        return new MangowallException(
                FailureCode.PLATFORM_ANSWER_LOST,
                "it is not known whether the change was accepted. It is safe to repeat the command.\n  "
                        + cause.getMessage(),
                cause);
    }
}
