package org.mangowall.kernel.duty;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;

import org.jctools.queues.MpscArrayQueue;
import org.mangowall.kernel.log.ComponentLog;

/**
 * A thread that handles events from a bounded queue, one at a time.
 *
 * <p>{@link #offer} never blocks and returns whether the event was accepted; the caller decides what to do when the
 * queue is full. Events are handled in the order in which they were offered. An exception or error of the handler
 * is logged and the thread continues with the next event.
 *
 * @param <E> the type of the events
 */
public final class Duty<E> implements AutoCloseable {

    private static final ComponentLog LOG = ComponentLog.of("duty");
    private static final int MAXIMUM_BATCH_EVENTS = 256;

    private final String name;
    private final MpscArrayQueue<E> queue;
    private final DutyHandler<E> handler;
    private final long tickNanos;
    private final Thread thread;
    private final AtomicLong refusedEvents = new AtomicLong();
    private volatile boolean running = true;
    private volatile boolean parked;

    /**
     * Creates a duty; {@link #start} starts its thread.
     *
     * @param name the thread's name without the prefix {@code mangowall-}
     * @param queueCapacityEvents the capacity of the queue in events, at least 2
     * @param tickPeriod the longest time between two ticks of the handler
     * @param handler handles the events and ticks
     */
    public Duty(String name, int queueCapacityEvents, Duration tickPeriod, DutyHandler<E> handler) {
        this.name = name;
        this.queue = new MpscArrayQueue<>(queueCapacityEvents);
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

    /** Adds an event to the queue; returns false if the queue is full or the duty is closed. */
    public boolean offer(E event) {
        if (!running || !queue.relaxedOffer(event) && !queue.offer(event)) {
            refusedEvents.incrementAndGet();
            return false;
        }
        if (parked) {
            LockSupport.unpark(thread);
        }
        return true;
    }

    /** The number of events in the queue. */
    public int depth() {
        return queue.size();
    }

    /** The number of events refused since the start. */
    public long refusedEvents() {
        return refusedEvents.get();
    }

    /** The thread's name without the prefix {@code mangowall-}. */
    public String name() {
        return name;
    }

    /** The identifier of the thread, for processor-time metrics. */
    public long threadIdentifier() {
        return thread.threadId();
    }

    /** Stops the thread after the current batch and waits up to two seconds for it to end. */
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
        while (handled < MAXIMUM_BATCH_EVENTS) {
            E event = queue.poll();
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
        if (queue.isEmpty() && running) {
            LockSupport.parkNanos(this, Math.max(0, deadlineNanos - System.nanoTime()));
        }
        parked = false;
    }

    private void runHandler(E event) {
        try {
            handler.handle(event);
        } catch (RuntimeException | Error failure) {
            report(failure, "%s failed to handle an event");
        }
    }

    private void runTick() {
        try {
            handler.tick();
        } catch (RuntimeException | Error failure) {
            report(failure, "%s failed to handle a tick");
        }
    }

    /** Logs a failure. What made the handler fail may make the logger fail too, which must not end the thread. */
    private void report(Throwable failure, String format) {
        try {
            LOG.error(failure, format, name);
        } catch (RuntimeException | Error unlogged) {
            System.err.println("mangowall-" + name + ": a failure can't be logged");
        }
    }
}
