package org.mangowall.kernel.name;

/**
 * The name of a service that a set of runners offers.
 *
 * @param value the text; see {@link NameSyntax}
 */
public record ServiceName(String value) implements Comparable<ServiceName> {

    /** Checks the text. */
    public ServiceName {
        NameSyntax.check("Service", value);
    }

    @Override
    public int compareTo(ServiceName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
