package org.mangowall.protocol;

/**
 * An HTTP header field in a message between routers.
 *
 * @param name the name in lower case
 * @param value the value
 */
public record HeaderField(String name, String value) {}
