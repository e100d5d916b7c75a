package org.mangowall.edge.mirror;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.mangowall.edge.wire.StorePosition;
import org.mangowall.edge.wire.StoredObject;

/**
 * The known objects of one kind, with the tombstones of deleted ones.
 *
 * <p>Tombstones exist only for deletions that this host has seen, and the oldest are dropped when there are many.
 * {@link #deletionsKnownAfter()} tells from which position on none is lacking.
 */
final class MirroredObjects {

    /** A rolling upgrade of a large fleet replaces some thousand runners. */
    static final int MAX_TOMBSTONES = 4_096;

    private static final long HASH_MULTIPLIER = 0x9E3779B97F4A7C15L;

    private final Map<String, StoredObject> objects = new LinkedHashMap<>();
    private StorePosition completeTo = StorePosition.START;
    private StorePosition deletionsKnownAfter = StorePosition.START;
    private StorePosition latestChange = StorePosition.START;
    private int tombstones;
    private long fingerprint;

    StoredObject find(String name) {
        return objects.get(name);
    }

    /** Returns the objects that exist, as a copy. */
    List<StoredObject> existing() {
        return objects.values().stream().filter(object -> !object.isDeleted()).toList();
    }

    /** Returns the objects and tombstones that changed after a position. */
    List<StoredObject> changedAfter(StorePosition position) {
        if (!latestChange.isAfter(position)) {
            return List.of();
        }
        return objects.values().stream()
                .filter(object -> object.position().isAfter(position))
                .toList();
    }

    /** Adds or replaces an object or tombstone. */
    void put(StoredObject object) {
        StoredObject previous = objects.put(object.name(), object);
        if (previous != null) {
            count(previous, -1);
        }
        count(object, 1);
        latestChange = StorePosition.later(latestChange, object.position());
        if (tombstones > MAX_TOMBSTONES) {
            dropOldestTombstones();
        }
    }

    private void count(StoredObject object, int sign) {
        if (object.isDeleted()) {
            tombstones += sign;
        } else {
            fingerprint += sign * hashOf(object);
        }
    }

    private static long hashOf(StoredObject object) {
        long hash = object.name().hashCode();
        hash = (hash ^ object.position().era()) * HASH_MULTIPLIER;
        hash = (hash ^ hash >>> 32 ^ object.position().revision()) * HASH_MULTIPLIER;
        return hash ^ hash >>> 29;
    }

    private void dropOldestTombstones() {
        List<StoredObject> deleted = new ArrayList<>(
                objects.values().stream().filter(StoredObject::isDeleted).toList());
        deleted.sort(Comparator.comparing(StoredObject::position));
        for (StoredObject tombstone : deleted.subList(0, deleted.size() / 2)) {
            objects.remove(tombstone.name());
            tombstones -= 1;
            deletionsKnownAfter = StorePosition.later(deletionsKnownAfter, tombstone.position());
        }
    }

    /** Returns the position up to which the objects are complete; the start if they were never loaded. */
    StorePosition completeTo() {
        return completeTo;
    }

    void setCompleteTo(StorePosition position) {
        completeTo = position;
    }

    /** Returns the position after which all deletions are known. */
    StorePosition deletionsKnownAfter() {
        return deletionsKnownAfter;
    }

    /** Records that objects may have been created and deleted unseen before a position. */
    void forgetDeletionsBefore(StorePosition position) {
        deletionsKnownAfter = StorePosition.later(deletionsKnownAfter, position);
    }

    /** Returns a hash of the names and positions of all objects, regardless of their order and of tombstones. */
    long fingerprint() {
        return fingerprint;
    }
}
