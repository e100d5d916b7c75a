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
 * The newest known state of the followed objects, whoever told it.
 *
 * <p>Revisions decide: an object never goes back to an older one. Deleted objects stay as marks, so that late news from
 * another host doesn't revive them. Used by one thread.
 */
public final class StoreMirror {

    private final Map<ObjectKind, Map<String, StoredObject>> objects = new EnumMap<>(ObjectKind.class);
    private final Map<ObjectKind, Long> completeTo = new EnumMap<>(ObjectKind.class);
    private final Consumer<StoredObject> listener;
    private long changes;

    /**
     * Starts empty.
     *
     * @param listener hears of each change
     */
    public StoreMirror(Consumer<StoredObject> listener) {
        this.listener = listener;
        for (ObjectKind kind : ObjectKind.values()) {
            objects.put(kind, new LinkedHashMap<>());
            completeTo.put(kind, 0L);
        }
    }

    /** Takes changes after which the kind is known up to a revision. */
    public void change(ObjectKind kind, List<StoredObject> changes, long asOf) {
        changes.forEach(this::apply);
        completeTo.merge(kind, asOf, Math::max);
    }

    /** Takes a complete list of a kind; what is missing in it is gone. */
    public void replace(ObjectKind kind, List<StoredObject> list, long asOf) {
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

    /** The revision up to which a kind is known; 0 when it never was. */
    public long completeTo(ObjectKind kind) {
        return completeTo.get(kind);
    }

    /** Counts the changes so far. */
    public long changes() {
        return changes;
    }

    /** What changed in a kind after a revision. */
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
        changes += 1;
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
