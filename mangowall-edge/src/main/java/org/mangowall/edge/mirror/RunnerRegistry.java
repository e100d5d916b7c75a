package org.mangowall.edge.mirror;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

import org.mangowall.edge.decision.FleetLoad;
import org.mangowall.edge.model.RunnerEntry;

/**
 * Brings the listed runners to the decisions.
 *
 * <p>An entry that lapsed while the store was away doesn't mean that the runner left: it is kept until the runners had
 * time to write again.
 */
public final class RunnerRegistry {

    /** By then a living runner has written its entry again after the store's return. */
    private static final long RETURN_NANOS = 2_300_000_000L;

    private final FleetLoad fleet;
    private final StoreAvailability contact;
    private final Consumer<String> removedListener;
    private final Map<String, Long> removeAt = new HashMap<>();

    /**
     * Starts without runners.
     *
     * @param removedListener hears the identifiers of runners that are gone
     */
    public RunnerRegistry(FleetLoad fleet, StoreAvailability contact, Consumer<String> removedListener) {
        this.fleet = fleet;
        this.contact = contact;
        this.removedListener = removedListener;
    }

    /** An entry is new or changed; an empty one names no runner that can be used. */
    public void listed(String identifier, Optional<RunnerEntry> entry, long now) {
        removeAt.remove(identifier);
        if (entry.isEmpty()) {
            remove(identifier);
            return;
        }
        fleet.installRunner(entry.get(), now);
    }

    /** An entry is gone from the store. */
    public void unlisted(String identifier, long now) {
        long sinceReturn = contact.sinceRegained(now);
        boolean isAway = contact.isAway(now);
        if (isAway || sinceReturn < RETURN_NANOS) {
            long wait = isAway ? RETURN_NANOS : RETURN_NANOS - sinceReturn;
            removeAt.put(identifier, now + wait);
            return;
        }
        remove(identifier);
    }

    /** Removes runners whose entries didn't come back in time. */
    public void removeOverdue(long now) {
        Iterator<Map.Entry<String, Long>> waiting = removeAt.entrySet().iterator();
        while (waiting.hasNext()) {
            Map.Entry<String, Long> entry = waiting.next();
            if (now >= entry.getValue()) {
                waiting.remove();
                remove(entry.getKey());
            }
        }
    }

    private void remove(String identifier) {
        fleet.removeRunner(identifier);
        removedListener.accept(identifier);
    }
}
