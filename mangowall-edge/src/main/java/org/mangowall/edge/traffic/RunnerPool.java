package org.mangowall.edge.traffic;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

import org.mangowall.edge.model.RunnerEntry;
import org.mangowall.kernel.http.StrayPlace;

/** The connections of this host to one incarnation of a runner. */
final class RunnerPool {

    private final RunnerEntry runner;
    private final Deque<RunnerConnection> idle = new ArrayDeque<>();
    private final Set<RunnerConnection> connections = new HashSet<>();
    private final LongSupplier nanoClock;
    private final Consumer<StrayPlace> strayBytesReceiver;
    private int connecting;

    /**
     * Creates an empty pool.
     *
     * @param strayBytesReceiver learns where bytes of the runner were found that belong to no response
     */
    RunnerPool(RunnerEntry runner, LongSupplier nanoClock, Consumer<StrayPlace> strayBytesReceiver) {
        this.runner = runner;
        this.nanoClock = nanoClock;
        this.strayBytesReceiver = strayBytesReceiver;
    }

    RunnerEntry runner() {
        return runner;
    }

    /** Takes the most recently used idle connection whose idle timeout at the runner has not passed. */
    Optional<RunnerConnection> takeIdle() {
        long now = nanoClock.getAsLong();
        while (!idle.isEmpty()) {
            RunnerConnection connection = idle.pollLast();
            if (connection.isOpen() && connection.idleUntil() > now) {
                return Optional.of(connection);
            }
            connection.close();
        }
        return Optional.empty();
    }

    void strayBytesReceived(StrayPlace place) {
        strayBytesReceiver.accept(place);
    }

    boolean hasIdle() {
        return !idle.isEmpty();
    }

    int size() {
        return connections.size() + connecting;
    }

    void beginConnecting() {
        connecting += 1;
    }

    void endConnecting() {
        connecting -= 1;
    }

    void connected(RunnerConnection connection) {
        connections.add(connection);
    }

    void release(RunnerConnection connection) {
        connection.setIdleUntil(nanoClock.getAsLong() + connection.idleTimeoutNanos());
        idle.addLast(connection);
    }

    void closed(RunnerConnection connection) {
        connections.remove(connection);
        idle.remove(connection);
    }

    /** Closes connections whose idle timeout has passed. */
    void closeExpired() {
        long now = nanoClock.getAsLong();
        while (!idle.isEmpty() && idle.peekFirst().idleUntil() <= now) {
            idle.pollFirst().close();
        }
    }

    /** Closes idle connections while there are more connections than allowed. */
    void closeIdleAbove(int most) {
        while (size() > most && hasIdle()) {
            closeLongestIdle();
        }
    }

    /** Closes the connection that has been idle for the longest time, if any is. */
    void closeLongestIdle() {
        if (idle.isEmpty()) {
            return;
        }
        RunnerConnection closing = idle.pollFirst();
        connections.remove(closing);
        closing.close();
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
