package org.mangowall.edge.program;

import java.util.Comparator;
import java.util.List;
import java.util.Random;

import org.mangowall.edge.model.HostRecord;

/**
 * Chooses the hosts that are named to a caller, who takes any of them for each connection.
 *
 * <p>Hosts of equal size are all named. Of unequal ones, each answer names a part, larger hosts in more answers than
 * smaller ones, so that connections spread by size.
 */
final class EntryHosts {

    /** Callers take so many addresses at most. */
    private static final int MOST_ADDRESSES = 64;
    /** Fewer than these leave a caller without a host when some are lost at once. */
    private static final int LEAST_ADDRESSES = 8;
    /** The part of unequal hosts that an answer names; with more of them, smaller ones are named too often. */
    private static final double NAMED_SHARE = 0.3;
    /** How much rather a host of the caller's availability zone is named. */
    private static final double OWN_ZONE_WEIGHT = 3;

    private EntryHosts() {}

    /** The addresses of the chosen hosts. */
    static List<String> choose(List<HostRecord> ready, String callerZone, Random random) {
        int count = count(ready);
        if (count == ready.size()) {
            return ready.stream().map(HostRecord::callerAddress).toList();
        }
        return ready.stream()
                .map(host -> new Drawn(host, Math.log(random.nextDouble()) / weight(host, callerZone)))
                .sorted(Comparator.comparingDouble(Drawn::key).reversed())
                .limit(count)
                .map(drawn -> drawn.host().callerAddress())
                .toList();
    }

    private static int count(List<HostRecord> ready) {
        boolean isUnequal =
                ready.stream().mapToDouble(HostRecord::processors).distinct().count() > 1;
        if (!isUnequal) {
            return Math.min(ready.size(), MOST_ADDRESSES);
        }
        int part = (int) Math.ceil(ready.size() * NAMED_SHARE);
        return Math.min(ready.size(), Math.clamp(part, LEAST_ADDRESSES, MOST_ADDRESSES));
    }

    private static double weight(HostRecord host, String callerZone) {
        double size = host.processors() > 0 ? host.processors() : 1;
        return size * (host.zone().equals(callerZone) ? OWN_ZONE_WEIGHT : 1);
    }

    /** A host with its place in a weighted draw without repetition; the greatest keys are drawn. */
    private record Drawn(HostRecord host, double key) {}
}
