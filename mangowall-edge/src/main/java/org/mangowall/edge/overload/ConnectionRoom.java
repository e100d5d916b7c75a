package org.mangowall.edge.overload;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.concurrent.TimeUnit;

/**
 * Decides which idle connections of callers a host closes, and when it accepts no more.
 *
 * <p>Load: the callers of one workspace open ten times their usual connections and keep them, and the host's
 * descriptors run out: it reaches no runner, no other host and no store, and accepts nobody. A connection is closed
 * only while its holder has at least as many as any other one, so that whoever holds few keeps them, and never one that
 * is busy.
 *
 * @param limit how many connections of callers leave enough descriptors for everything else
 */
public record ConnectionRoom(int limit) {

    /** Callers allow a host a second for reading a request: the first one of a new connection may be under way. */
    private static final long FIRST_REQUEST_NANOS = TimeUnit.SECONDS.toNanos(1);
    /** Part of the limit that is freed at once, so that not each new connection has all others looked at. */
    private static final double FREED_FRACTION = 1.0 / 32;

    /**
     * Decides by the connections that are open now.
     *
     * @param isAccepting whether connections have been accepted up to now
     */
    public <C extends HeldConnection> RoomDecision<C> decide(Collection<C> open, boolean isAccepting, long now) {
        int freedSize = limit - Math.max(1, (int) (limit * FREED_FRACTION));
        if (open.size() <= (isAccepting ? limit - 1 : freedSize)) {
            return new RoomDecision.Accept<>();
        }
        List<C> closed = idlestOfLargest(open, open.size() - freedSize, now);
        return open.size() - closed.size() <= freedSize
                ? new RoomDecision.CloseIdle<>(closed)
                : new RoomDecision.StopAccepting<>(closed);
    }

    private static <C extends HeldConnection> List<C> idlestOfLargest(Collection<C> open, int wanted, long now) {
        PriorityQueue<Holding<C>> holdings = new PriorityQueue<>(Comparator.<Holding<C>>comparingInt(Holding::size)
                .thenComparingLong(holding -> holding.longestIdleNanos(now))
                .reversed());
        holdings.addAll(holdingsOf(open, now));
        List<C> chosen = new ArrayList<>();
        while (chosen.size() < wanted && !holdings.isEmpty()) {
            Holding<C> largest = holdings.poll();
            if (largest.idle.isEmpty()) {
                break;
            }
            chosen.add(largest.takeIdlest());
            holdings.add(largest);
        }
        return chosen;
    }

    private static <C extends HeldConnection> Collection<Holding<C>> holdingsOf(Collection<C> open, long now) {
        Map<ConnectionHolder, List<C>> byHolder = new HashMap<>();
        open.forEach(connection -> byHolder.computeIfAbsent(connection.holder(), holder -> new ArrayList<>())
                .add(connection));
        return byHolder.values().stream()
                .map(connections -> new Holding<>(connections, now))
                .toList();
    }

    private static boolean isClosable(HeldConnection connection, long now) {
        if (connection.isBusy()) {
            return false;
        }
        return switch (connection.holder()) {
            case ConnectionHolder.Workspace workspace -> true;
            case ConnectionHolder.Address address -> now - connection.idleSince() >= FIRST_REQUEST_NANOS;
        };
    }

    /** The connections of one holder, and those of them that may be closed, the idlest first. */
    private static final class Holding<C extends HeldConnection> {

        private final Deque<C> idle;
        private int size;

        Holding(List<C> connections, long now) {
            this.size = connections.size();
            this.idle = new ArrayDeque<>(connections.stream()
                    .filter(connection -> isClosable(connection, now))
                    .sorted(Comparator.<C>comparingLong(connection -> now - connection.idleSince())
                            .reversed())
                    .toList());
        }

        int size() {
            return size;
        }

        /** -1 if none may be closed. */
        long longestIdleNanos(long now) {
            return idle.isEmpty() ? -1 : now - idle.peekFirst().idleSince();
        }

        C takeIdlest() {
            size -= 1;
            return idle.pollFirst();
        }
    }
}
