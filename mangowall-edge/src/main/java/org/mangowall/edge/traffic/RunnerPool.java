package org.mangowall.edge.traffic;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;

import org.mangowall.edge.model.RunnerEntry;

/** The connections of this host to one start of one runner. */
final class RunnerPool {

    private final RunnerEntry runner;
    private final Deque<RunnerConnection> idle = new ArrayDeque<>();
    private final Set<RunnerConnection> all = new HashSet<>();
    private final LongSupplier nanos;
    private int connecting;

    RunnerPool(RunnerEntry runner, LongSupplier nanos) {
        this.runner = runner;
        this.nanos = nanos;
    }

    RunnerEntry runner() {
        return runner;
    }

    /** The connection that was used last and is not about to be closed by the runner. */
    Optional<RunnerConnection> takeIdle() {
        long now = nanos.getAsLong();
        while (!idle.isEmpty()) {
            RunnerConnection connection = idle.pollLast();
            if (connection.isOpen() && connection.idleUntil() > now) {
                return Optional.of(connection);
            }
            connection.close();
        }
        return Optional.empty();
    }

    int size() {
        return all.size() + connecting;
    }

    void beginConnecting() {
        connecting += 1;
    }

    void endConnecting() {
        connecting -= 1;
    }

    void connected(RunnerConnection connection) {
        all.add(connection);
    }

    void release(RunnerConnection connection) {
        connection.setIdleUntil(nanos.getAsLong() + connection.idleNanos());
        idle.addLast(connection);
    }

    void closed(RunnerConnection connection) {
        all.remove(connection);
        idle.remove(connection);
    }

    /** Closes connections that have been unused for as long as the runner keeps them. */
    void closeExpired() {
        long now = nanos.getAsLong();
        while (!idle.isEmpty() && idle.peekFirst().idleUntil() <= now) {
            idle.pollFirst().close();
        }
    }

    boolean isEmpty() {
        return size() == 0;
    }

    void closeIdle() {
        while (!idle.isEmpty()) {
            idle.pollFirst().close();
        }
    }
}
