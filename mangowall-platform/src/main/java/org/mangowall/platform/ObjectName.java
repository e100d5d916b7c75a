package org.mangowall.platform;

/**
 * The name of an object in the platform, unique within its kind.
 *
 * @param kind the kind of the object, such as {@code configuration}
 * @param name the name within the kind
 */
public record ObjectName(String kind, String name) {

    @Override
    public String toString() {
        return kind + "/" + name;
    }
}
