package org.mangowall.kernel.name;

/**
 * The name of a region, a group of availability zones.
 *
 * @param value the text; see {@link NameSyntax}
 */
public record RegionName(String value) implements Comparable<RegionName> {

    /** Checks the text. */
    public RegionName {
        NameSyntax.check("Region", value);
    }

    @Override
    public int compareTo(RegionName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
