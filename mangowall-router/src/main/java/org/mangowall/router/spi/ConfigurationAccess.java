package org.mangowall.router.spi;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.mangowall.platform.VersionedObject;

/** Reads and writes the inventory document for operators. */
public interface ConfigurationAccess {

    /** Returns the newest document that this router knows; empty if there is none. */
    CompletableFuture<Optional<VersionedObject>> current();

    /**
     * Writes a document that has already been validated.
     *
     * @return the version of the written document; the future fails with one of the {@code PLATFORM_*} codes
     */
    CompletableFuture<Long> write(long expectedVersion, byte[] document);
}
