package org.mangowall.command.change;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.mangowall.command.client.StoredConfiguration;
import org.mangowall.command.output.Json;
import org.mangowall.inventory.Inventory;
import org.mangowall.inventory.document.InventoryDocument;

/**
 * The differences between the stored inventory and a new one.
 *
 * @param baseVersion the stored version
 * @param changes the differences, ordered by kind and name of the entries
 * @param capacities the services whose open slots change
 */
public record InventoryPlan(long baseVersion, List<InventoryChange> changes, List<CapacityChange> capacities) {

    private static final long NO_VERSION = 0;

    /** Makes the lists immutable. */
    public InventoryPlan {
        changes = List.copyOf(changes);
        capacities = List.copyOf(capacities);
    }

    /** Compares the stored inventory with a new one. */
    public static InventoryPlan between(StoredConfiguration stored, InventoryDocument document) {
        List<InventoryChange> changes = compare(
                stored.document().map(InventoryFields::of).orElseGet(TreeMap::new), InventoryFields.of(document));
        return new InventoryPlan(stored.version(), changes, capacities(stored.document(), document));
    }

    private static List<InventoryChange> compare(
            SortedMap<EntryKey, Map<String, String>> before, SortedMap<EntryKey, Map<String, String>> after) {
        SortedMap<EntryKey, Map<String, String>> allEntries = new TreeMap<>(before);
        allEntries.putAll(after);
        List<InventoryChange> changes = new ArrayList<>();
        for (EntryKey key : allEntries.keySet()) {
            if (!before.containsKey(key)) {
                changes.add(new InventoryChange.EntryAdded(key.kind(), key.name()));
            } else if (!after.containsKey(key)) {
                changes.add(new InventoryChange.EntryRemoved(key.kind(), key.name()));
            } else {
                changes.addAll(fieldChanges(key, before.get(key), after.get(key)));
            }
        }
        return changes;
    }

    private static List<InventoryChange> fieldChanges(
            EntryKey key, Map<String, String> before, Map<String, String> after) {
        List<InventoryChange> changes = new ArrayList<>();
        after.forEach((field, value) -> {
            String previousValue = before.get(field);
            if (!value.equals(previousValue)) {
                changes.add(new InventoryChange.FieldChanged(key.kind(), key.name(), field, previousValue, value));
            }
        });
        return changes;
    }

    private static List<CapacityChange> capacities(Optional<InventoryDocument> before, InventoryDocument after) {
        Inventory inventoryBefore = before.map(document -> document.toInventory(NO_VERSION))
                .orElseGet(() -> Inventory.builder(NO_VERSION).build());
        Inventory inventoryAfter = after.toInventory(NO_VERSION);
        return inventoryAfter.services().keySet().stream()
                .map(service -> CapacityChange.of(service, inventoryBefore, inventoryAfter))
                .filter(change -> change.before() != change.after())
                .toList();
    }

    /** Returns whether there are no differences. */
    public boolean isEmpty() {
        return changes.isEmpty();
    }

    /** Formats the plan for the text output, without a trailing line feed. */
    public String toText() {
        if (isEmpty()) {
            return "Nothing to change: version " + baseVersion + " says the same.";
        }
        StringBuilder text = new StringBuilder("Against version " + baseVersion + ":");
        changes.forEach(change -> text.append("\n  ").append(change.toText()));
        if (!capacities.isEmpty()) {
            text.append("\nCapacity:");
            capacities.forEach(change -> text.append("\n  ").append(change.toText()));
        }
        return text.toString();
    }

    /** Formats the plan for the JSON output. */
    public ObjectNode toJson() {
        ObjectNode node = Json.object().put("base_version", baseVersion);
        ArrayNode changeNodes = node.putArray("changes");
        changes.forEach(change -> changeNodes.add(change.toJson()));
        ArrayNode capacityNodes = node.putArray("capacities");
        capacities.forEach(change -> capacityNodes.add(change.toJson()));
        return node;
    }
}
