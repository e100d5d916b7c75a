package org.mangowall.edge.mirror;

import java.util.Arrays;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

import org.mangowall.edge.wire.ObjectKind;
import org.mangowall.edge.wire.StorePosition;
import org.mangowall.edge.wire.StoredObject;

/**
 * The latest known state of the store's objects, received from the store or from other hosts.
 *
 * <p>An object never returns to an older position. Deleted objects are kept as tombstones, so that late updates from
 * another host don't restore them, and so that other hosts can be told of the deletions. A list shows the deletion only
 * of objects that this host has known; after one, all deletions are known only from the position of the list on. When
 * the store was restored from a copy, the first complete list of the new era replaces what was known of the kind. Not
 * thread-safe: used by one thread only.
 */
public final class StoreMirror {

    private final Map<ObjectKind, MirroredObjects> objectsByKind = new EnumMap<>(ObjectKind.class);
    private final Consumer<StoredObject> listener;
    private final EraListener eraListener;
    private StorePosition latest = StorePosition.START;
    private long changeCount;

    /** Receives the eras of the store. */
    @FunctionalInterface
    public interface EraListener {

        /**
         * Called before the first objects of an era are applied.
         *
         * @param previous the latest known position of the era before; the start if none was known
         * @param current the first known position of the new era
         */
        void eraBegan(StorePosition previous, StorePosition current);
    }

    /**
     * Creates an empty mirror.
     *
     * @param listener called with each changed object
     * @param eraListener called when an era becomes known
     */
    public StoreMirror(Consumer<StoredObject> listener, EraListener eraListener) {
        this.listener = listener;
        this.eraListener = eraListener;
        for (ObjectKind kind : ObjectKind.values()) {
            objectsByKind.put(kind, new MirroredObjects());
        }
    }

    /** Applies changes, after which a kind is complete up to a position. */
    public void applyChanges(ObjectKind kind, List<StoredObject> changes, StorePosition asOf) {
        recordPosition(asOf);
        MirroredObjects objects = objectsByKind.get(kind);
        if (isOutdated(objects, asOf)) {
            applyNewerThanKnown(objects, changes);
            return;
        }
        changes.forEach(this::apply);
        objects.setCompleteTo(asOf);
    }

    /**
     * Applies what another host knows to have changed after a position, including all deletions.
     *
     * <p>Changes after the start, or after a position of an earlier era, are all objects. Changes after a position that
     * this mirror hasn't reached are ignored, because they would hide the ones before.
     */
    public void applyChangesAfter(
            ObjectKind kind, StorePosition after, List<StoredObject> changes, StorePosition asOf) {
        if (after.isAfter(completeTo(kind))) {
            return;
        }
        if (isBeforeAllObjects(after, asOf)) {
            applyList(kind, changes, asOf);
        } else {
            applyChanges(kind, changes, asOf);
        }
    }

    /**
     * Applies what another host knows to have changed, which may lack deletions. The kind is complete up to a position
     * afterwards only if it consists of the same objects as at the other host.
     *
     * @param fingerprint the {@link #fingerprint} of the other host
     * @return whether the kind consists of the same objects
     */
    public boolean applyChangesWithoutDeletions(
            ObjectKind kind, List<StoredObject> changes, StorePosition asOf, long fingerprint) {
        recordPosition(asOf);
        MirroredObjects objects = objectsByKind.get(kind);
        if (isOutdated(objects, asOf)) {
            applyNewerThanKnown(objects, changes);
            return true;
        }
        changes.forEach(this::apply);
        if (objects.fingerprint() != fingerprint) {
            return false;
        }
        objects.setCompleteTo(asOf);
        objects.forgetDeletionsBefore(asOf);
        return true;
    }

    /** Applies a complete list of a kind; objects that it lacks are deleted, unless they are newer than the list. */
    public void applyList(ObjectKind kind, List<StoredObject> list, StorePosition asOf) {
        recordPosition(asOf);
        MirroredObjects objects = objectsByKind.get(kind);
        if (isOutdated(objects, asOf)) {
            applyNewerThanKnown(objects, list);
            return;
        }
        Set<String> listed = new HashSet<>();
        list.forEach(object -> listed.add(object.name()));
        list.forEach(this::apply);
        for (StoredObject known : objects.existing()) {
            if (!known.position().isAfter(asOf) && !listed.contains(known.name())) {
                apply(new StoredObject(kind, known.name(), asOf, new byte[0], true));
            }
        }
        objects.setCompleteTo(asOf);
        objects.forgetDeletionsBefore(asOf);
    }

    private static boolean isOutdated(MirroredObjects objects, StorePosition asOf) {
        return objects.completeTo().isAfter(asOf);
    }

    /** Applies the part of an outdated update that is newer; an unknown object before that may have been deleted. */
    private void applyNewerThanKnown(MirroredObjects objects, List<StoredObject> changes) {
        changes.stream()
                .filter(object -> object.position().isAfter(objects.completeTo()))
                .forEach(this::apply);
    }

    private static boolean isBeforeAllObjects(StorePosition after, StorePosition asOf) {
        return after.equals(StorePosition.START) || after.era() < asOf.era();
    }

    /** Returns the position up to which a kind is complete; the start when it was never loaded. */
    public StorePosition completeTo(ObjectKind kind) {
        return objectsByKind.get(kind).completeTo();
    }

    /** Whether {@link #changedAfter} includes all deletions that a host at this position may not know. */
    public boolean knowsDeletionsAfter(ObjectKind kind, StorePosition position) {
        MirroredObjects objects = objectsByKind.get(kind);
        return isBeforeAllObjects(position, objects.completeTo())
                || !objects.deletionsKnownAfter().isAfter(position);
    }

    /** Returns a hash of the names and positions of all objects of a kind; the same at hosts that know the same. */
    public long fingerprint(ObjectKind kind) {
        return objectsByKind.get(kind).fingerprint();
    }

    /** Returns the number of changes applied so far. */
    public long changeCount() {
        return changeCount;
    }

    /** Returns the objects of a kind that changed after a position, including deleted ones. */
    public List<StoredObject> changedAfter(ObjectKind kind, StorePosition position) {
        return objectsByKind.get(kind).changedAfter(position);
    }

    private void apply(StoredObject object) {
        MirroredObjects known = objectsByKind.get(object.kind());
        StoredObject previous = known.find(object.name());
        if (previous != null && !isNewer(object, previous)) {
            return;
        }
        known.put(object);
        changeCount += 1;
        if (previous == null ? !object.isDeleted() : !isSameInNewEra(object, previous)) {
            listener.accept(object);
        }
    }

    private void recordPosition(StorePosition position) {
        StorePosition previous = latest;
        latest = StorePosition.later(latest, position);
        if (latest.era() > previous.era()) {
            eraListener.eraBegan(previous, latest);
        }
    }

    /** Whether an object has got another position only because the store was restored from a copy. */
    private static boolean isSameInNewEra(StoredObject object, StoredObject previous) {
        return object.position().era() != previous.position().era()
                && object.isDeleted() == previous.isDeleted()
                && Arrays.equals(object.content(), previous.content());
    }

    private static boolean isNewer(StoredObject object, StoredObject previous) {
        if (object.position().equals(previous.position())) {
            return object.isDeleted() && !previous.isDeleted();
        }
        return object.position().isAfter(previous.position());
    }
}
