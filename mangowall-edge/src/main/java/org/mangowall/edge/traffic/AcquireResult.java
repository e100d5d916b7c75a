package org.mangowall.edge.traffic;

/** The result of acquiring a connection to a runner. */
sealed interface AcquireResult {

    /**
     * An idle connection was found or a new one was opened.
     *
     * @param connection the connection, which carries no request
     */
    record Ready(RunnerConnection connection) implements AcquireResult {}

    /**
     * This host can open no further connection to the runner, which says nothing about the runner.
     *
     * @param reason which limit was reached, for the log
     */
    record LimitReached(String reason) implements AcquireResult {}

    /**
     * Opening a connection failed.
     *
     * @param reason the cause, for the log
     */
    record Unreachable(String reason) implements AcquireResult {}
}
