package org.mangowall.edge.mirror;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

import org.mangowall.edge.wire.ObjectKind;
import org.mangowall.edge.wire.StoredObject;

/**
 * The latest known state of the store's objects, received from the store or from other hosts.
 *
 * <p>An object never returns to an older revision. Deleted objects are kept as tombstones, so that late updates from
 * another host don't restore them. Not thread-safe: used by one thread only.
 */
public final class StoreMirror {

    private final Map<ObjectKind, Map<String, StoredObject>> objects = new EnumMap<>(ObjectKind.class);
    private final Map<ObjectKind, Long> completeTo = new EnumMap<>(ObjectKind.class);
    private final Consumer<StoredObject> listener;
    private long changeCount;

    /**
     * Creates an empty mirror.
     *
     * @param listener called with each changed object
     */
    public StoreMirror(Consumer<StoredObject> listener) {
        this.listener = listener;
        for (ObjectKind kind : ObjectKind.values()) {
            objects.put(kind, new LinkedHashMap<>());
            completeTo.put(kind, 0L);
        }
    }

    /** Applies changes, after which a kind is complete up to a revision. */
    public void applyChanges(ObjectKind kind, List<StoredObject> changes, long asOf) {
        changes.forEach(this::apply);
        completeTo.merge(kind, asOf, Math::max);
    }

    /** Applies a complete list of a kind; objects that it lacks are deleted, unless they are newer than the list. */
    public void applyList(ObjectKind kind, List<StoredObject> list, long asOf) {
        Set<String> listed = new HashSet<>();
        list.forEach(object -> listed.add(object.name()));
        list.forEach(this::apply);
        for (StoredObject known : List.copyOf(objects.get(kind).values())) {
            if (!known.isDeleted() && known.revision() <= asOf && !listed.contains(known.name())) {
                apply(new StoredObject(kind, known.name(), asOf, new byte[0], true));
            }
        }
        completeTo.merge(kind, asOf, Math::max);
    }

    /** Returns the revision up to which a kind is complete; 0 when it was never loaded. */
    public long completeTo(ObjectKind kind) {
        return completeTo.get(kind);
    }

    /** Returns the number of changes applied so far. */
    public long changeCount() {
        return changeCount;
    }

    /** Returns the objects of a kind that changed after a revision, including deleted ones. */
    public List<StoredObject> changedAfter(ObjectKind kind, long revision) {
        List<StoredObject> changed = new ArrayList<>();
        for (StoredObject object : objects.get(kind).values()) {
            if (object.revision() > revision) {
                changed.add(object);
            }
        }
        return changed;
    }

    private void apply(StoredObject object) {
        Map<String, StoredObject> known = objects.get(object.kind());
        StoredObject previous = known.get(object.name());
        if (previous != null && !isNewer(object, previous)) {
            return;
        }
        known.put(object.name(), object);
        changeCount += 1;
        if (previous != null || !object.isDeleted()) {
            listener.accept(object);
        }
    }

    private static boolean isNewer(StoredObject object, StoredObject previous) {
        if (object.revision() == previous.revision()) {
            return object.isDeleted() && !previous.isDeleted();
        }
        return object.revision() > previous.revision();
    }
}
