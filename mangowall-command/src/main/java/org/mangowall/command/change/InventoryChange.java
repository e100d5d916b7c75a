package org.mangowall.command.change;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.mangowall.command.output.Json;

/** One difference between two inventories after their rules have been applied. */
public sealed interface InventoryChange {

    /** The kind of the entry. */
    EntryKind kind();

    /** The name of the entry. */
    String name();

    /**
     * An entry that only the new inventory has.
     *
     * @param kind the kind of the entry
     * @param name the name of the entry
     */
    record EntryAdded(EntryKind kind, String name) implements InventoryChange {}

    /**
     * An entry that only the stored inventory has.
     *
     * @param kind the kind of the entry
     * @param name the name of the entry
     */
    record EntryRemoved(EntryKind kind, String name) implements InventoryChange {}

    /**
     * A field whose value differs.
     *
     * @param kind the kind of the entry
     * @param name the name of the entry
     * @param field the field
     * @param before its stored value
     * @param after its new value
     */
    record FieldChanged(EntryKind kind, String name, String field, String before, String after)
            implements InventoryChange {}

    /** Formats the change as one line of the text output. */
    default String toText() {
        String subject = kind().displayName() + " " + name();
        return switch (this) {
            case EntryAdded added -> "add " + subject;
            case EntryRemoved removed -> "remove " + subject;
            case FieldChanged changed ->
                "change " + subject + ": " + changed.field() + " " + changed.before() + " -> " + changed.after();
        };
    }

    /** Formats the change for the JSON output. */
    default ObjectNode toJson() {
        ObjectNode node = Json.object();
        switch (this) {
            case EntryAdded added -> node.put("change", "add");
            case EntryRemoved removed -> node.put("change", "remove");
            case FieldChanged changed ->
                node.put("change", "alter")
                        .put("field", changed.field())
                        .put("before", changed.before())
                        .put("after", changed.after());
        }
        return node.put("kind", kind().displayName()).put("name", name());
    }
}
