package org.mangowall.router.spi;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.mangowall.platform.VersionedObject;

/** The inventory document as operators read and write it through a router. */
public interface ConfigurationAccess {

    /** The newest document that this router knows; empty when there is none. */
    CompletableFuture<Optional<VersionedObject>> current();

    /**
     * Writes a document that was already checked.
     *
     * @return the version that holds it; fails with one of the {@code PLATFORM_*} codes
     */
    CompletableFuture<Long> write(long expectedVersion, byte[] document);
}
