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
 * What would change if a document were written over what is stored.
 *
 * @param baseVersion the version that is stored now
 * @param changes the differences, in the order of the file
 * @param capacities the services whose open slots change
 */
public record InventoryPlan(long baseVersion, List<InventoryChange> changes, List<CapacityChange> capacities) {

    private static final long NO_VERSION = 0;

    /** Copies the lists. */
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
        SortedMap<EntryKey, Map<String, String>> all = new TreeMap<>(before);
        all.putAll(after);
        List<InventoryChange> changes = new ArrayList<>();
        for (EntryKey key : all.keySet()) {
            if (!before.containsKey(key)) {
                changes.add(new InventoryChange.Added(key.kind(), key.name()));
            } else if (!after.containsKey(key)) {
                changes.add(new InventoryChange.Removed(key.kind(), key.name()));
            } else {
                changes.addAll(alterations(key, before.get(key), after.get(key)));
            }
        }
        return changes;
    }

    private static List<InventoryChange> alterations(
            EntryKey key, Map<String, String> before, Map<String, String> after) {
        List<InventoryChange> changes = new ArrayList<>();
        after.forEach((field, value) -> {
            String previous = before.get(field);
            if (!value.equals(previous)) {
                changes.add(new InventoryChange.Altered(key.kind(), key.name(), field, previous, value));
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

    /** Whether nothing would change. */
    public boolean isEmpty() {
        return changes.isEmpty();
    }

    /** The plan for people, without a line end. */
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

    /** The plan for programs. */
    public ObjectNode toJson() {
        ObjectNode node = Json.object().put("base_version", baseVersion);
        ArrayNode changeNodes = node.putArray("changes");
        changes.forEach(change -> changeNodes.add(change.toJson()));
        ArrayNode capacityNodes = node.putArray("capacities");
        capacities.forEach(change -> capacityNodes.add(change.toJson()));
        return node;
    }
}
