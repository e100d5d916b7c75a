package org.mangowall.kernel.name;

/**
 * The name of an availability zone.
 *
 * @param value the text; see {@link NameSyntax}
 */
public record ZoneName(String value) implements Comparable<ZoneName> {

    /** Checks the text. */
    public ZoneName {
        NameSyntax.check("Zone", value);
    }

    @Override
    public int compareTo(ZoneName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
