package org.mangowall.edge.peer;

import java.util.Comparator;

import org.mangowall.edge.model.HostRecord;

/** The order in which hosts become relays or store readers: by processors, descending, then by hash of the name. */
final class HostRank {

    /** Scatters the hashes of similar names, such as those of the hosts of one availability zone. */
    private static final int HASH_MULTIPLIER = 0x9E3779B9;

    static final Comparator<HostRecord> ORDER = Comparator.comparingDouble(HostRecord::processors)
            .reversed()
            .thenComparingInt(host -> host.name().hashCode() * HASH_MULTIPLIER)
            .thenComparing(HostRecord::name);

    private HostRank() {}

    static boolean isBefore(HostRecord one, HostRecord other) {
        return ORDER.compare(one, other) < 0;
    }
}
