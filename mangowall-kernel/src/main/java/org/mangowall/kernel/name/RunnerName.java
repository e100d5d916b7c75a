package org.mangowall.kernel.name;

/**
 * The name of a runner, which is a model engine or a plain service process.
 *
 * @param value the text; see {@link NameSyntax}
 */
public record RunnerName(String value) implements Comparable<RunnerName> {

    /** Checks the text. */
    public RunnerName {
        NameSyntax.check("Runner", value);
    }

    @Override
    public int compareTo(RunnerName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
