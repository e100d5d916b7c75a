package org.mangowall.protocol;

/**
 * One HTTP header field that travels between routers.
 *
 * @param name the name in lower case
 * @param value the value
 */
public record HeaderField(String name, String value) {}
