package org.mangowall.edge.traffic;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import io.netty.channel.EventLoop;
import org.mangowall.edge.log.DecisionLog;
import org.mangowall.edge.log.GuardedTask;

/**
 * Runs work on requests after the event loop has read everything that had arrived before.
 *
 * <p>Load: a host that is behind finds a request, and in a later turn of its loop the end of the caller's connection,
 * though both arrived long ago. Work that runs as soon as the request is read reaches a runner for a caller who has
 * left. Deferred work runs after one more turn of the loop, in which the end of the connection is read, and for a
 * bounded time in each turn, so that the next end of a connection is read soon.
 *
 * <p>Work that exceeds the processor's capacity waits here, and no other measurement shows it: the loop's own tasks
 * still run on time. Requests that were placed go first. Requests that have just arrived wait in a queue for each
 * workspace, and the queues take turns, so that a workspace that floods the host delays only its own requests.
 */
public final class DeferredWork {

    /** Work in one turn of the loop; well below the half second after which a caller's leaving has to be noticed. */
    private static final long MAX_TURN_NANOS = 20_000_000L;

    private final EventLoop loop;
    private final LongSupplier nanoClock;
    private final DecisionLog log;
    /** Work that was added in this turn of the loop. */
    private final Deque<Runnable> newUrgent = new ArrayDeque<>();

    private final Deque<Waiting> newArrived = new ArrayDeque<>();
    private final Deque<Runnable> urgent = new ArrayDeque<>();
    private final Map<String, Deque<Waiting>> arrivedByWorkspace = new LinkedHashMap<>();
    private int arrivedCount;
    private boolean isScheduled;
    private long longestWaitNanos;
    private Runnable turnListener = () -> {};

    DeferredWork(EventLoop loop, LongSupplier nanoClock, DecisionLog log) {
        this.loop = loop;
        this.nanoClock = nanoClock;
        this.log = log;
    }

    /** A request that has arrived, with the time at which it was added. */
    private record Waiting(String workspace, Runnable start, long addedAt) {}

    /** Sets what is called after the work of each turn. */
    public void setTurnListener(Runnable listener) {
        turnListener = listener;
    }

    /** Returns the number of requests that have arrived and wait. */
    public int size() {
        return arrivedCount;
    }

    /** How long the oldest request has been waiting, in nanoseconds; 0 if none waits. */
    public long delayNanos() {
        long oldest = nanoClock.getAsLong();
        for (Deque<Waiting> arrived : arrivedByWorkspace.values()) {
            oldest = Math.min(oldest, arrived.peekFirst().addedAt());
        }
        return nanoClock.getAsLong() - oldest;
    }

    /** How long the oldest request of a workspace has been waiting, in nanoseconds; 0 if none waits. */
    long delayNanos(String workspace) {
        Deque<Waiting> arrived = arrivedByWorkspace.get(workspace);
        return arrived == null ? 0 : nanoClock.getAsLong() - arrived.peekFirst().addedAt();
    }

    /** Returns the longest time that any request has waited since the last call, in nanoseconds. */
    public long takeLongestWaitNanos() {
        long longest = Math.max(longestWaitNanos, delayNanos());
        longestWaitNanos = 0;
        return longest;
    }

    /** Adds work that ends a request or goes on with one that was placed; it runs in the order of the calls. */
    void addUrgent(Runnable work) {
        newUrgent.addLast(work);
        schedule();
    }

    /** Adds the start of a request that has arrived. */
    void addArrived(String workspace, Runnable start) {
        newArrived.addLast(new Waiting(workspace, start, nanoClock.getAsLong()));
        arrivedCount += 1;
        schedule();
    }

    private void schedule() {
        if (!isScheduled) {
            isScheduled = true;
            loop.execute(this::afterThisTurn);
        }
    }

    /** Scheduled from a task of this turn, even a task without delay runs in the next turn, after its reads. */
    private void afterThisTurn() {
        urgent.addAll(newUrgent);
        newUrgent.clear();
        newArrived.forEach(waiting -> arrivedByWorkspace
                .computeIfAbsent(waiting.workspace(), name -> new ArrayDeque<>())
                .addLast(waiting));
        newArrived.clear();
        loop.schedule(this::run, 0, TimeUnit.NANOSECONDS);
    }

    private void run() {
        long startedAt = nanoClock.getAsLong();
        while (hasReadyWork() && nanoClock.getAsLong() - startedAt < MAX_TURN_NANOS) {
            new GuardedTask(log, "deferred-work", this::runNext).run();
        }
        turnListener.run();
        isScheduled = hasReadyWork() || !newUrgent.isEmpty() || !newArrived.isEmpty();
        if (isScheduled) {
            afterThisTurn();
        }
    }

    private boolean hasReadyWork() {
        return !urgent.isEmpty() || !arrivedByWorkspace.isEmpty();
    }

    private void runNext() {
        if (urgent.isEmpty()) {
            startNext();
        } else {
            urgent.pollFirst().run();
        }
    }

    /** Starts the oldest request of the workspace whose turn it is. */
    private void startNext() {
        Iterator<Deque<Waiting>> queues = arrivedByWorkspace.values().iterator();
        Deque<Waiting> arrived = queues.next();
        queues.remove();
        Waiting next = arrived.pollFirst();
        if (!arrived.isEmpty()) {
            arrivedByWorkspace.put(next.workspace(), arrived);
        }
        arrivedCount -= 1;
        longestWaitNanos = Math.max(longestWaitNanos, nanoClock.getAsLong() - next.addedAt());
        next.start().run();
    }
}
