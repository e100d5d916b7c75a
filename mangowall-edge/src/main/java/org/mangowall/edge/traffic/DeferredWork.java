package org.mangowall.edge.traffic;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import io.netty.channel.EventLoop;

/**
 * Runs work on requests after the event loop has read everything that had arrived before.
 *
 * <p>Load: a host that is behind finds a request, and in a later turn of its loop the end of the caller's connection,
 * though both arrived long ago. Work that runs as soon as the request is read reaches a runner for a caller who has
 * left. Deferred work runs after one more turn of the loop, in which the end of the connection is read, and for a
 * bounded time in each turn, so that the next end of a connection is read soon.
 */
public final class DeferredWork {

    /** Work in one turn of the loop; well below the half second after which a caller's leaving has to be noticed. */
    private static final long MAX_TURN_NANOS = 20_000_000L;

    private final EventLoop loop;
    private final LongSupplier nanoClock;
    private final Deque<Waiting> waiting = new ArrayDeque<>();
    /** How much of the waiting work was added before the turn that has begun. */
    private int readyCount;

    private boolean isScheduled;
    private long longestWaitNanos;

    DeferredWork(EventLoop loop, LongSupplier nanoClock) {
        this.loop = loop;
        this.nanoClock = nanoClock;
    }

    /** Work with the time at which it was added. */
    private record Waiting(Runnable work, long addedAt) {}

    /** Returns the amount of work that waits. */
    public int size() {
        return waiting.size();
    }

    /** How long the oldest work has been waiting, in nanoseconds; 0 if none waits. */
    public long delayNanos() {
        return waiting.isEmpty()
                ? 0
                : nanoClock.getAsLong() - waiting.peekFirst().addedAt();
    }

    /** Returns the longest time that any work has waited since the last call, in nanoseconds. */
    public long takeLongestWaitNanos() {
        long longest = Math.max(longestWaitNanos, delayNanos());
        longestWaitNanos = 0;
        return longest;
    }

    /** Adds work, which runs in the order of the calls. */
    void add(Runnable work) {
        waiting.addLast(new Waiting(work, nanoClock.getAsLong()));
        if (!isScheduled) {
            isScheduled = true;
            loop.execute(this::afterThisTurn);
        }
    }

    /** Scheduled from a task of this turn, even a task without delay runs in the next turn, after its reads. */
    private void afterThisTurn() {
        readyCount = waiting.size();
        loop.schedule(this::run, 0, TimeUnit.NANOSECONDS);
    }

    private void run() {
        long startedAt = nanoClock.getAsLong();
        while (readyCount > 0 && nanoClock.getAsLong() - startedAt < MAX_TURN_NANOS) {
            readyCount -= 1;
            longestWaitNanos = Math.max(longestWaitNanos, delayNanos());
            waiting.pollFirst().work().run();
        }
        isScheduled = !waiting.isEmpty();
        if (isScheduled) {
            afterThisTurn();
        }
    }
}
