package org.mangowall.command.change;

/** The kinds of entries of an inventory, in the order in which an inventory file lists them. */
public enum EntryKind {
    /** A region. */
    REGION("region"),
    /** An availability zone. */
    AVAILABILITY_ZONE("availability zone"),
    /** A service. */
    SERVICE("service"),
    /** A runner. */
    RUNNER("runner"),
    /** A workspace. */
    WORKSPACE("workspace");

    private final String displayName;

    EntryKind(String displayName) {
        this.displayName = displayName;
    }

    /** Returns the name of the kind for text and JSON output. */
    public String displayName() {
        return displayName;
    }
}
