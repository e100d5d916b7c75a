package org.mangowall.platform;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's object API and list of hosts.
 *
 * <p>All calls return at once. Futures end with a {@link org.mangowall.kernel.failure.MangowallException} whose code is
 * {@code PLATFORM_UNAVAILABLE} when nothing was written, {@code PLATFORM_ANSWER_LOST} when a write may have taken
 * effect, or one of the other {@code PLATFORM_*} codes.
 */
public interface PlatformClient extends AutoCloseable {

    /** The expected version of an object that must not exist yet. */
    long NO_VERSION = 0;

    /** Reads an object; empty when there is none. */
    CompletableFuture<Optional<VersionedObject>> read(ObjectName object);

    /**
     * Writes an object if its version is the expected one.
     *
     * @return the new version; fails with {@code PLATFORM_CONFLICT} when the version is another
     */
    CompletableFuture<Long> write(ObjectName object, long expectedVersion, byte[] content);

    /** Waits for a version after the given one; empty when none came within the wait. */
    CompletableFuture<Optional<VersionedObject>> watch(ObjectName object, long afterVersion, Duration wait);

    /** Reads the list of hosts. */
    CompletableFuture<List<HostEntry>> hosts();

    /** Puts this host into the list, or marks it as leaving; the list shows it later. */
    CompletableFuture<Void> announce(HostEntry entry);

    @Override
    void close();
}
