package org.mangowall.edge.wire;

/** The kinds of object that hosts follow in the platform's store. */
public enum ObjectKind {
    /** The configuration. */
    CONFIGURATION,
    /** The runners that there are. */
    RUNNER,
    /** The availability zones that are closed for work. */
    CLOSED_ZONE,
    /** The hosts of the fleet; only the hosts write them. */
    HOST
}
