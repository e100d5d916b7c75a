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
 * <p>An entry that expired during an outage of the store, or that a restored store lacks, doesn't mean that the runner
 * left: the runner is kept until it has had time to renew its entry. Likewise, a runner that was leaving before a
 * restore is still leaving, although the restored entry is older than that. An entry that a runner wrote before the
 * known one took effect late, and is ignored.
 */
public final class RunnerRegistry {

    private final FleetLoad fleet;
    private final StoreAvailability storeAvailability;
    private final Consumer<String> removedListener;
    private final PostponedListener postponedListener;
    private final Map<String, Pending> pendingChanges = new HashMap<>();

    /** Receives the changes of the store that don't take effect at once. */
    @FunctionalInterface
    public interface PostponedListener {

        /**
         * Called for a removal or an entry that is postponed or ignored.
         *
         * @param nanos until it takes effect unless the entry is written before; 0 if it is ignored
         */
        void postponed(String identifier, String reason, long nanos);
    }

    /**
     * Creates an empty registry.
     *
     * @param removedListener called with the identifier of each removed runner
     * @param postponedListener called when a runner is kept as it was
     */
    public RunnerRegistry(
            FleetLoad fleet,
            StoreAvailability storeAvailability,
            Consumer<String> removedListener,
            PostponedListener postponedListener) {
        this.fleet = fleet;
        this.storeAvailability = storeAvailability;
        this.removedListener = removedListener;
        this.postponedListener = postponedListener;
    }

    /** What is done with a runner unless its entry is written before; removes it if there is no entry. */
    private record Pending(long dueAt, Optional<RunnerEntry> entry) {}

    /** Applies a new or changed entry; an empty one describes no usable runner, so the runner is removed. */
    public void updateEntry(String identifier, Optional<RunnerEntry> entry, long now) {
        // Even an outdated entry shows that the runner is listed, so a postponed removal must not take effect.
        pendingChanges.remove(identifier);
        if (entry.isPresent() && isOutdated(entry.get())) {
            postponedListener.postponed(identifier, "the entry is older than the known one", 0);
            return;
        }
        long left = storeAvailability.renewalNanosLeftAfterRestore(now);
        if (left > 0 && entry.isPresent() && revokesLeaving(entry.get())) {
            postpone(identifier, "the entry may be older than the restore", entry, left, now);
            return;
        }
        apply(identifier, entry, now);
    }

    private boolean isOutdated(RunnerEntry entry) {
        return fleet.runner(entry.identifier()).filter(entry::isOlderThan).isPresent();
    }

    private void postpone(String identifier, String reason, Optional<RunnerEntry> entry, long delay, long now) {
        pendingChanges.put(identifier, new Pending(now + delay, entry));
        postponedListener.postponed(identifier, reason, delay);
    }

    private boolean revokesLeaving(RunnerEntry entry) {
        return fleet.runner(entry.identifier())
                .filter(known -> known.isSameIncarnation(entry) && known.isDraining() && !entry.isDraining())
                .isPresent();
    }

    private void apply(String identifier, Optional<RunnerEntry> entry, long now) {
        entry.ifPresentOrElse(present -> fleet.installRunner(present, now), () -> remove(identifier, now));
    }

    /** Handles the removal of an entry from the store. */
    public void removeEntry(String identifier, long now) {
        long sinceRecovery = storeAvailability.nanosSinceRecovery(now);
        boolean isOutage = storeAvailability.isOutage(now);
        if (isOutage || sinceRecovery < StoreAvailability.RENEWAL_NANOS) {
            long delay = StoreAvailability.RENEWAL_NANOS - (isOutage ? 0 : sinceRecovery);
            postpone(identifier, "the entry may have lapsed in an outage", Optional.empty(), delay, now);
            return;
        }
        remove(identifier, now);
    }

    /** Applies the removals and entries that weren't followed by a newer entry in time after an outage or restore. */
    public void applyPending(long now) {
        Iterator<Map.Entry<String, Pending>> pending = pendingChanges.entrySet().iterator();
        while (pending.hasNext()) {
            Map.Entry<String, Pending> change = pending.next();
            if (now >= change.getValue().dueAt()) {
                pending.remove();
                apply(change.getKey(), change.getValue().entry(), now);
            }
        }
    }

    private void remove(String identifier, long now) {
        fleet.removeRunner(identifier, now);
        removedListener.accept(identifier);
    }
}
