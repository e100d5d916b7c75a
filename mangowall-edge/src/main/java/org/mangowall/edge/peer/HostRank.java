package org.mangowall.edge.peer;

import java.util.Comparator;

import org.mangowall.edge.model.HostRecord;

/** The order in which hosts take on work for the others: larger ones first, then by name in mixed order. */
final class HostRank {

    /** Spreads names that follow each other, as those of one availability zone do. */
    private static final int NAME_FACTOR = 0x9E3779B9;

    static final Comparator<HostRecord> ORDER = Comparator.comparingDouble(HostRecord::processors)
            .reversed()
            .thenComparingInt(host -> host.name().hashCode() * NAME_FACTOR)
            .thenComparing(HostRecord::name);

    private HostRank() {}

    static boolean isBefore(HostRecord one, HostRecord other) {
        return ORDER.compare(one, other) < 0;
    }
}
