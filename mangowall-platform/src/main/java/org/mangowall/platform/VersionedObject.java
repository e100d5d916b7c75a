package org.mangowall.platform;

/**
 * An object in the platform with its version.
 *
 * @param version the version, 1 for the first write; it increases with each write
 * @param content the content, at most 1 MiB; not copied, and must not be modified
 */
public record VersionedObject(long version, byte[] content) {}
