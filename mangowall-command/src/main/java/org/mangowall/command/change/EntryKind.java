package org.mangowall.command.change;

/** The kinds of entries of an inventory, in the order of the file. */
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

    private final String text;

    EntryKind(String text) {
        this.text = text;
    }

    /** The kind in words. */
    public String text() {
        return text;
    }
}
