package org.mangowall.standin.platform;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

import org.mangowall.platform.ObjectName;
import org.mangowall.platform.VersionedObject;

/** Stores versioned objects with conditional updates and watches; not thread-safe. */
final class ObjectStore {

    private final Map<ObjectName, VersionedObject> objects = new HashMap<>();
    private final Map<ObjectName, List<Consumer<VersionedObject>>> watchers = new HashMap<>();

    Optional<VersionedObject> read(ObjectName name) {
        return Optional.ofNullable(objects.get(name));
    }

    long version(ObjectName name) {
        return read(name).map(VersionedObject::version).orElse(0L);
    }

    /** Writes the object and notifies its watchers if it has the expected version; returns whether it had. */
    boolean write(ObjectName name, long expectedVersion, byte[] content) {
        if (version(name) != expectedVersion) {
            return false;
        }
        VersionedObject written = new VersionedObject(expectedVersion + 1, content);
        objects.put(name, written);
        List<Consumer<VersionedObject>> pendingWatchers = watchers.remove(name);
        if (pendingWatchers != null) {
            pendingWatchers.forEach(watcher -> watcher.accept(written));
        }
        return true;
    }

    /** Registers a watcher that is notified once, of the next write. */
    void watch(ObjectName name, Consumer<VersionedObject> watcher) {
        watchers.computeIfAbsent(name, key -> new ArrayList<>()).add(watcher);
    }

    void unwatch(ObjectName name, Consumer<VersionedObject> watcher) {
        List<Consumer<VersionedObject>> pendingWatchers = watchers.get(name);
        if (pendingWatchers != null) {
            pendingWatchers.remove(watcher);
        }
    }
}
