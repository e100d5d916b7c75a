package org.mangowall.command.change;

import java.util.Comparator;

/**
 * Identifies an entry of the inventory.
 *
 * @param kind the kind of the entry
 * @param name the name of the entry, unique within its kind
 */
record EntryKey(EntryKind kind, String name) implements Comparable<EntryKey> {

    private static final Comparator<EntryKey> ORDER =
            Comparator.comparing(EntryKey::kind).thenComparing(EntryKey::name);

    @Override
    public int compareTo(EntryKey other) {
        return ORDER.compare(this, other);
    }
}
