package org.mangowall.platform.memory;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.mangowall.platform.HostEntry;
import org.mangowall.platform.ObjectName;
import org.mangowall.platform.PlatformClient;
import org.mangowall.platform.VersionedObject;

/**
 * A wrapper of a shared platform client that leaves the shared client open when it is closed.
 *
 * @param platform the shared client
 */
public record NonClosingPlatformClient(PlatformClient platform) implements PlatformClient {

    @Override
    public CompletableFuture<Optional<VersionedObject>> read(ObjectName object) {
        return platform.read(object);
    }

    @Override
    public CompletableFuture<Long> write(ObjectName object, long expectedVersion, byte[] content) {
        return platform.write(object, expectedVersion, content);
    }

    @Override
    public CompletableFuture<Optional<VersionedObject>> watch(ObjectName object, long afterVersion, Duration wait) {
        return platform.watch(object, afterVersion, wait);
    }

    @Override
    public CompletableFuture<List<HostEntry>> hosts() {
        return platform.hosts();
    }

    @Override
    public CompletableFuture<Void> announce(HostEntry entry) {
        return platform.announce(entry);
    }

    @Override
    public void close() {
        // other users still need the shared client
    }
}
