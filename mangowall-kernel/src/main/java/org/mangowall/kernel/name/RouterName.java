package org.mangowall.kernel.name;

/**
 * The name of a router process; each entry host runs one.
 *
 * @param value the text; see {@link NameSyntax}
 */
public record RouterName(String value) implements Comparable<RouterName> {

    /** Checks the text. */
    public RouterName {
        NameSyntax.check("Router", value);
    }

    @Override
    public int compareTo(RouterName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
