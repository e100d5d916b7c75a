package org.mangowall.inventory.document;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import org.mangowall.inventory.checked.CheckedTable;

/** The names and addresses that a document has defined so far, by kind of entry. */
final class DefinedNames {

    private final Map<String, Set<Object>> namesByKind = new HashMap<>();

    /** Defines a name; records a fault if the name is already defined. */
    void define(CheckedTable table, String key, String kind, Object name) {
        boolean added =
                namesByKind.computeIfAbsent(kind, unused -> new HashSet<>()).add(name);
        if (!added) {
            table.fault(key, "another " + kind + " than '" + name + "', which is there already");
        }
    }

    /** Records a fault if the name is not defined. */
    void requireDefined(CheckedTable table, String key, String kind, Object name) {
        if (!namesByKind.getOrDefault(kind, Set.of()).contains(name)) {
            table.fault(key, "a known " + kind + ", but there is no '" + name + "'");
        }
    }
}
