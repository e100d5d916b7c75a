package org.mangowall.edge.traffic;

/** What came of asking for a connection to a runner. */
sealed interface Acquired {

    /**
     * A connection that carries no request.
     *
     * @param connection the connection
     */
    record Ready(RunnerConnection connection) implements Acquired {}

    /** This host has as many connections to the runner as it may have. */
    record UsedUp() implements Acquired {}

    /**
     * No connection could be made.
     *
     * @param reason what happened
     */
    record Unreachable(String reason) implements Acquired {}
}
