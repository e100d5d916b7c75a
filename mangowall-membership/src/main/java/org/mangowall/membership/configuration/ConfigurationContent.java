package org.mangowall.membership.configuration;

/**
 * A configuration document as the platform keeps it.
 *
 * @param version the object's version in the platform
 * @param document its bytes; not copied, and not to be changed
 */
public record ConfigurationContent(long version, byte[] document) {}
