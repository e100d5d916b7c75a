package org.mangowall.edge.overload;

/** An open connection of a caller, as {@link ConnectionRoom} sees it. */
public interface HeldConnection {

    /** Returns who holds the connection. */
    ConnectionHolder holder();

    /** Returns whether a request is being read or processed, or a response is being sent. */
    boolean isBusy();

    /** Returns when the connection was accepted or its last response ended. */
    long idleSince();
}
