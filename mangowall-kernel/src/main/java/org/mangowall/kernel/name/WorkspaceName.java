package org.mangowall.kernel.name;

/**
 * The name of a workspace; capacity is shared fairly between workspaces.
 *
 * @param value the text; see {@link NameSyntax}
 */
public record WorkspaceName(String value) implements Comparable<WorkspaceName> {

    /** Checks the text. */
    public WorkspaceName {
        NameSyntax.check("Workspace", value);
    }

    @Override
    public int compareTo(WorkspaceName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
