package org.mangowall.edge.program;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

import org.mangowall.edge.model.HostRecord;

/** Chooses the hosts that are named to a caller. */
final class EntryHosts {

    /** Callers take so many addresses at most. */
    private static final int MOST_ADDRESSES = 64;

    private EntryHosts() {}

    /** The addresses of ready hosts; with too many, those of the caller's zone first. */
    static List<String> choose(List<HostRecord> ready, String callerZone, Random random) {
        if (ready.size() <= MOST_ADDRESSES) {
            return ready.stream().map(HostRecord::callerAddress).toList();
        }
        List<HostRecord> shuffled = new ArrayList<>(ready);
        Collections.shuffle(shuffled, random);
        shuffled.sort((one, other) ->
                Boolean.compare(other.zone().equals(callerZone), one.zone().equals(callerZone)));
        return shuffled.stream()
                .limit(MOST_ADDRESSES)
                .map(HostRecord::callerAddress)
                .toList();
    }
}
