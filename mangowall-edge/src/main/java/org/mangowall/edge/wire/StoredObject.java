package org.mangowall.edge.wire;

/**
 * An object of the platform's store, or the news that it is gone.
 *
 * @param kind its kind
 * @param name its name within the kind
 * @param revision the store's counter at its last change
 * @param content what the writer stored, as JSON; empty when the object is gone
 * @param isDeleted whether the object is gone
 */
public record StoredObject(ObjectKind kind, String name, long revision, byte[] content, boolean isDeleted) {}
