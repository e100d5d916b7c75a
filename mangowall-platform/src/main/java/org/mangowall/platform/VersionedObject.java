package org.mangowall.platform;

/**
 * An object as the platform keeps it.
 *
 * @param version its version, from 1; it grows with each write
 * @param content its bytes, at most one megabyte; not copied, and not to be changed
 */
public record VersionedObject(long version, byte[] content) {}
