package org.mangowall.edge.mirror;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

import org.mangowall.edge.decision.FleetLoad;
import org.mangowall.edge.model.RunnerEntry;

/**
 * Applies the store's runner entries to the {@link FleetLoad}.
 *
 * <p>An entry that expired during an outage of the store doesn't mean that the runner left: the runner is kept until it
 * has had time to renew its entry.
 */
public final class RunnerRegistry {

    /** Time after an outage of the store within which a running runner renews its entry. */
    private static final long RENEWAL_NANOS = 2_300_000_000L;

    private final FleetLoad fleet;
    private final StoreAvailability storeAvailability;
    private final Consumer<String> removedListener;
    private final Map<String, Long> removalTimes = new HashMap<>();

    /**
     * Creates an empty registry.
     *
     * @param removedListener called with the identifier of each removed runner
     */
    public RunnerRegistry(FleetLoad fleet, StoreAvailability storeAvailability, Consumer<String> removedListener) {
        this.fleet = fleet;
        this.storeAvailability = storeAvailability;
        this.removedListener = removedListener;
    }

    /** Applies a new or changed entry; an empty one describes no usable runner, so the runner is removed. */
    public void updateEntry(String identifier, Optional<RunnerEntry> entry, long now) {
        removalTimes.remove(identifier);
        if (entry.isEmpty()) {
            remove(identifier, now);
            return;
        }
        fleet.installRunner(entry.get(), now);
    }

    /** Handles the removal of an entry from the store. */
    public void removeEntry(String identifier, long now) {
        long sinceRecovery = storeAvailability.nanosSinceRecovery(now);
        boolean isOutage = storeAvailability.isOutage(now);
        if (isOutage || sinceRecovery < RENEWAL_NANOS) {
            long delay = isOutage ? RENEWAL_NANOS : RENEWAL_NANOS - sinceRecovery;
            removalTimes.put(identifier, now + delay);
            return;
        }
        remove(identifier, now);
    }

    /** Removes runners whose entries weren't renewed in time after an outage. */
    public void removeExpired(long now) {
        Iterator<Map.Entry<String, Long>> pending = removalTimes.entrySet().iterator();
        while (pending.hasNext()) {
            Map.Entry<String, Long> entry = pending.next();
            if (now >= entry.getValue()) {
                pending.remove();
                remove(entry.getKey(), now);
            }
        }
    }

    private void remove(String identifier, long now) {
        fleet.removeRunner(identifier, now);
        removedListener.accept(identifier);
    }
}
