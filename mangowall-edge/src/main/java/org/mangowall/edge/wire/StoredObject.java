package org.mangowall.edge.wire;

/**
 * An object of the platform's store, or a marker of its deletion.
 *
 * @param kind its kind
 * @param name its name within the kind
 * @param position the position of its last change
 * @param content the stored JSON; empty if the object is deleted
 * @param isDeleted whether the object is deleted
 */
public record StoredObject(ObjectKind kind, String name, StorePosition position, byte[] content, boolean isDeleted) {}
