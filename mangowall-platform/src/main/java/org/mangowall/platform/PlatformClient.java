package org.mangowall.platform;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * A client of the platform's object store and its list of hosts.
 *
 * <p>No call blocks. Futures fail with a {@link org.mangowall.kernel.failure.MangowallException} whose code is
 * {@code PLATFORM_UNAVAILABLE} if nothing was written, {@code PLATFORM_ANSWER_LOST} if a write may have taken effect,
 * or another of the {@code PLATFORM_*} codes.
 */
public interface PlatformClient extends AutoCloseable {

    /** The expected version in a write that creates an object. */
    long NO_VERSION = 0;

    /** Reads an object; empty if it does not exist. */
    CompletableFuture<Optional<VersionedObject>> read(ObjectName object);

    /**
     * Writes an object if its current version is the expected one.
     *
     * @return the new version; fails with {@code PLATFORM_CONFLICT} if the current version is a different one
     */
    CompletableFuture<Long> write(ObjectName object, long expectedVersion, byte[] content);

    /** Waits for a version newer than the given one; empty if there is none within the wait. */
    CompletableFuture<Optional<VersionedObject>> watch(ObjectName object, long afterVersion, Duration wait);

    /** Reads the list of hosts. */
    CompletableFuture<List<HostEntry>> hosts();

    /** Adds this host to the list or marks it as leaving; the list may show the change with a delay. */
    CompletableFuture<Void> announce(HostEntry entry);

    @Override
    void close();
}
