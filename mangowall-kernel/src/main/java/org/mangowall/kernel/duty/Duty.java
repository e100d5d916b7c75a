package org.mangowall.kernel.duty;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;

import org.jctools.queues.MpscArrayQueue;
import org.mangowall.kernel.log.PartLog;

/**
 * One thread with one duty, fed through a bounded ring.
 *
 * <p>{@link #offer} never blocks and says whether the event was taken; a full ring is the caller's to answer. Events
 * are handled in the order in which they were offered. A failing handler is logged and the duty goes on.
 *
 * @param <E> the events that the duty takes
 */
public final class Duty<E> implements AutoCloseable {

    private static final PartLog LOG = PartLog.of("duty");
    private static final int BATCH_EVENTS = 256;

    private final String name;
    private final MpscArrayQueue<E> ring;
    private final DutyHandler<E> handler;
    private final long tickNanos;
    private final Thread thread;
    private final AtomicLong refusedEvents = new AtomicLong();
    private volatile boolean running = true;
    private volatile boolean parked;

    /**
     * Creates a duty that is not started.
     *
     * @param name the thread's name
     * @param ringEvents how many events the ring holds, at least 2
     * @param tickPeriod the longest time between two ticks
     * @param handler the work
     */
    public Duty(String name, int ringEvents, Duration tickPeriod, DutyHandler<E> handler) {
        this.name = name;
        this.ring = new MpscArrayQueue<>(ringEvents);
        this.handler = handler;
        this.tickNanos = tickPeriod.toNanos();
        this.thread = new Thread(this::run, "mangowall-" + name);
        this.thread.setDaemon(true);
    }

    /** Starts the thread. */
    public Duty<E> start() {
        thread.start();
        return this;
    }

    /** Gives an event to the duty; false when the ring is full or the duty has ended. */
    public boolean offer(E event) {
        if (!running || !ring.relaxedOffer(event) && !ring.offer(event)) {
            refusedEvents.incrementAndGet();
            return false;
        }
        if (parked) {
            LockSupport.unpark(thread);
        }
        return true;
    }

    /** How many events the ring holds now. */
    public int depth() {
        return ring.size();
    }

    /** How many events were refused since the start. */
    public long refusedEvents() {
        return refusedEvents.get();
    }

    /** The thread's name without the program's prefix. */
    public String name() {
        return name;
    }

    /** The identifier of the thread, for processor-time metrics. */
    public long threadIdentifier() {
        return thread.threadId();
    }

    /** Asks the duty to end after the present batch and waits a bounded time for it. */
    @Override
    public void close() {
        running = false;
        LockSupport.unpark(thread);
        if (Thread.currentThread() == thread) {
            return;
        }
        try {
            thread.join(Duration.ofSeconds(2));
        } catch (InterruptedException interruption) {
            Thread.currentThread().interrupt();
        }
    }

    private void run() {
        long nextTickNanos = System.nanoTime() + tickNanos;
        while (running) {
            boolean worked = drainBatch();
            long now = System.nanoTime();
            if (worked || now - nextTickNanos >= 0) {
                runTick();
                nextTickNanos = now + tickNanos;
            }
            if (!worked) {
                parkUntil(nextTickNanos);
            }
        }
    }

    private boolean drainBatch() {
        int handled = 0;
        while (handled < BATCH_EVENTS) {
            E event = ring.poll();
            if (event == null) {
                break;
            }
            handled++;
            runHandler(event);
        }
        return handled > 0;
    }

    private void parkUntil(long deadlineNanos) {
        parked = true;
        if (ring.isEmpty() && running) {
            LockSupport.parkNanos(this, Math.max(0, deadlineNanos - System.nanoTime()));
        }
        parked = false;
    }

    private void runHandler(E event) {
        try {
            handler.handle(event);
        } catch (RuntimeException failure) {
            LOG.error(failure, "%s failed on an event", name);
        }
    }

    private void runTick() {
        try {
            handler.tick();
        } catch (RuntimeException failure) {
            LOG.error(failure, "%s failed on a tick", name);
        }
    }
}
