package org.mangowall.command.change;

import java.util.Comparator;

/**
 * What an entry of the inventory is called.
 *
 * @param kind its kind
 * @param name its name within the kind
 */
record EntryKey(EntryKind kind, String name) implements Comparable<EntryKey> {

    private static final Comparator<EntryKey> ORDER =
            Comparator.comparing(EntryKey::kind).thenComparing(EntryKey::name);

    @Override
    public int compareTo(EntryKey other) {
        return ORDER.compare(this, other);
    }
}
