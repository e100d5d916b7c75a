package org.mangowall.edge.traffic;

import org.mangowall.edge.overload.HeldConnection;

/** A connection that {@link CallerRoom} may close. */
interface TrackedConnection extends HeldConnection {

    /** Closes the connection unless it is busy. */
    void closeIfIdle();
}
