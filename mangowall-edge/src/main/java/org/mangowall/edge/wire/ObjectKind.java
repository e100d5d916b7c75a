package org.mangowall.edge.wire;

/** The kinds of objects in the platform's store that hosts read. */
public enum ObjectKind {
    /** The configuration. */
    CONFIGURATION,
    /** The available runners. */
    RUNNER,
    /** The availability zones whose runners get no requests. */
    CLOSED_ZONE,
    /** The hosts of the fleet, written only by the hosts themselves. */
    HOST
}
