package org.mangowall.platform;

/**
 * The name of an object in the platform.
 *
 * @param kind its kind, such as {@code configuration}
 * @param name its name within the kind
 */
public record ObjectName(String kind, String name) {

    @Override
    public String toString() {
        return kind + "/" + name;
    }
}
