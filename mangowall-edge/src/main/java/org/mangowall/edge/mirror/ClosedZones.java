package org.mangowall.edge.mirror;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.Map;
import java.util.Set;

import org.mangowall.edge.decision.FleetLoad;

/**
 * Applies the store's entries of closed availability zones to the {@link FleetLoad}.
 *
 * <p>An entry that is missing from a store that was restored from a copy may have been written after the copy was made:
 * the zone stays closed until the entry has had time to be written again.
 */
public final class ClosedZones {

    private final FleetLoad fleet;
    private final StoreAvailability storeAvailability;
    private final Set<String> closed = new HashSet<>();
    private final Map<String, Long> openingTimes = new HashMap<>();

    /** Creates a state in which all zones are open. */
    public ClosedZones(FleetLoad fleet, StoreAvailability storeAvailability) {
        this.fleet = fleet;
        this.storeAvailability = storeAvailability;
    }

    /** Stops sending requests to the runners of a zone. */
    public void close(String zone) {
        openingTimes.remove(zone);
        closed.add(zone);
        fleet.closeZone(zone);
    }

    /** Handles the removal of an entry: sends requests to the zone's runners again, at once or after a restore. */
    public void removeEntry(String zone, long now) {
        long left = storeAvailability.renewalNanosLeftAfterRestore(now);
        if (left > 0 && closed.contains(zone)) {
            openingTimes.put(zone, now + left);
            return;
        }
        open(zone, now);
    }

    /** Opens the zones whose entries weren't written again in time after a restore. */
    public void openExpired(long now) {
        Iterator<Map.Entry<String, Long>> pending = openingTimes.entrySet().iterator();
        while (pending.hasNext()) {
            Map.Entry<String, Long> entry = pending.next();
            if (now >= entry.getValue()) {
                pending.remove();
                open(entry.getKey(), now);
            }
        }
    }

    private void open(String zone, long now) {
        closed.remove(zone);
        fleet.openZone(zone, now);
    }
}
