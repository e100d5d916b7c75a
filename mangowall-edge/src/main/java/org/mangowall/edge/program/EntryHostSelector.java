package org.mangowall.edge.program;

import java.util.Comparator;
import java.util.List;
import java.util.Random;

import org.mangowall.edge.model.HostRecord;

/**
 * Selects the hosts whose addresses a caller gets; it opens each connection to any one of them.
 *
 * <p>Hosts of equal size are all selected, up to a limit. Of hosts of different sizes, each response contains a random
 * sample, weighted by size, so that the number of connections follows the size.
 */
final class EntryHostSelector {

    /** Callers accept at most this many addresses. */
    private static final int MAX_ADDRESSES = 64;
    /** With fewer addresses, a caller may lose all its hosts when several fail at the same time. */
    private static final int MIN_ADDRESSES = 8;
    /** Fraction of the hosts in a sample; a larger one would contain small hosts too often. */
    private static final double SAMPLE_FRACTION = 0.3;
    /** Factor for the weight of hosts in the caller's availability zone. */
    private static final double OWN_ZONE_WEIGHT = 3;

    private EntryHostSelector() {}

    /** Returns the addresses of the selected hosts. */
    static List<String> select(List<HostRecord> ready, String callerZone, Random random) {
        int sampleSize = sampleSize(ready);
        if (sampleSize == ready.size()) {
            return ready.stream().map(HostRecord::callerAddress).toList();
        }
        return ready.stream()
                .map(host -> new KeyedHost(host, Math.log(random.nextDouble()) / weight(host, callerZone)))
                .sorted(Comparator.comparingDouble(KeyedHost::key).reversed())
                .limit(sampleSize)
                .map(keyed -> keyed.host().callerAddress())
                .toList();
    }

    private static int sampleSize(List<HostRecord> ready) {
        boolean isUnequal =
                ready.stream().mapToDouble(HostRecord::processors).distinct().count() > 1;
        if (!isUnequal) {
            return Math.min(ready.size(), MAX_ADDRESSES);
        }
        int share = (int) Math.ceil(ready.size() * SAMPLE_FRACTION);
        return Math.min(ready.size(), Math.clamp(share, MIN_ADDRESSES, MAX_ADDRESSES));
    }

    private static double weight(HostRecord host, String callerZone) {
        double size = host.processors() > 0 ? host.processors() : 1;
        return size * (host.zone().equals(callerZone) ? OWN_ZONE_WEIGHT : 1);
    }

    /** A host with its random key for weighted sampling without replacement; the greatest keys are sampled. */
    private record KeyedHost(HostRecord host, double key) {}
}
