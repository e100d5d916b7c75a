package org.mangowall.inventory.document;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import org.mangowall.inventory.checked.CheckedTable;

/** The names and addresses that a document has defined so far, by kind. */
final class UniqueNames {

    private final Map<String, Set<Object>> namesByKind = new HashMap<>();

    /** Defines a name, and notes a fault when it was defined before. */
    void claim(CheckedTable table, String key, String kind, Object name) {
        boolean added =
                namesByKind.computeIfAbsent(kind, unused -> new HashSet<>()).add(name);
        if (!added) {
            table.fault(key, "another " + kind + " than '" + name + "', which is there already");
        }
    }

    /** Notes a fault when nothing of that kind has the name. */
    void require(CheckedTable table, String key, String kind, Object name) {
        if (!namesByKind.getOrDefault(kind, Set.of()).contains(name)) {
            table.fault(key, "a known " + kind + ", but there is no '" + name + "'");
        }
    }
}
