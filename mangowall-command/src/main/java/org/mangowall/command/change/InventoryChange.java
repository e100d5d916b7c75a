package org.mangowall.command.change;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.mangowall.command.output.Json;

/** One difference between two inventories, with the rules applied. */
public sealed interface InventoryChange {

    /** The kind of the entry. */
    EntryKind kind();

    /** The name of the entry. */
    String name();

    /**
     * An entry that was not there.
     *
     * @param kind its kind
     * @param name its name
     */
    record Added(EntryKind kind, String name) implements InventoryChange {}

    /**
     * An entry that goes away.
     *
     * @param kind its kind
     * @param name its name
     */
    record Removed(EntryKind kind, String name) implements InventoryChange {}

    /**
     * A field that gets another value.
     *
     * @param kind the kind of the entry
     * @param name the name of the entry
     * @param field the field
     * @param before its present value
     * @param after its new value
     */
    record Altered(EntryKind kind, String name, String field, String before, String after) implements InventoryChange {}

    /** The change as a line for people. */
    default String toText() {
        String subject = kind().text() + " " + name();
        return switch (this) {
            case Added added -> "add " + subject;
            case Removed removed -> "remove " + subject;
            case Altered altered ->
                "change " + subject + ": " + altered.field() + " " + altered.before() + " -> " + altered.after();
        };
    }

    /** The change for programs. */
    default ObjectNode toJson() {
        ObjectNode node = Json.object();
        switch (this) {
            case Added added -> node.put("change", "add");
            case Removed removed -> node.put("change", "remove");
            case Altered altered ->
                node.put("change", "alter")
                        .put("field", altered.field())
                        .put("before", altered.before())
                        .put("after", altered.after());
        }
        return node.put("kind", kind().text()).put("name", name());
    }
}
