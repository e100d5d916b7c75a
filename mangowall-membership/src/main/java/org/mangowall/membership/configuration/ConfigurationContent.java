package org.mangowall.membership.configuration;

/**
 * A version of the configuration document as stored by the platform.
 *
 * @param version the version of the platform's object
 * @param document the bytes; the array is not copied and must not be modified
 */
public record ConfigurationContent(long version, byte[] document) {}
