package org.mangowall.kernel.signal;

import java.time.Duration;
import java.util.concurrent.TimeUnit;

/**
 * An action that may be requested before it is known.
 *
 * <p>Requests that come before {@link #setAction} or while the action runs are merged into one more run of the action.
 * The action never runs twice at the same time. Thread-safe.
 */
final class DeferredAction {

    private Runnable action;
    private long requests;
    private boolean isRequested;
    private boolean isRunning;

    /** Runs the action on this thread, unless it is unknown or running: then whoever sets or runs it does. */
    void request() {
        synchronized (this) {
            requests++;
            isRequested = true;
            notifyAll();
        }
        runWhileRequested();
    }

    /** Sets the action, and runs it on this thread if it was requested before. */
    void setAction(Runnable newAction) {
        synchronized (this) {
            action = newAction;
        }
        runWhileRequested();
    }

    /** Returns whether a request has not led to a run of the action yet. */
    synchronized boolean isPending() {
        return isRequested;
    }

    /** Returns the number of requests so far. */
    synchronized long requests() {
        return requests;
    }

    /** Waits for a request after the given number of them; returns false if none comes in time. */
    synchronized boolean awaitRequest(long previousRequests, Duration timeout) {
        long deadline = System.nanoTime() + timeout.toNanos();
        try {
            for (long left = timeout.toNanos(); requests == previousRequests && left > 0; ) {
                TimeUnit.NANOSECONDS.timedWait(this, left);
                left = deadline - System.nanoTime();
            }
        } catch (InterruptedException interruption) {
            Thread.currentThread().interrupt();
        }
        return requests != previousRequests;
    }

    private void runWhileRequested() {
        for (Runnable next = takeRequest(); next != null; next = takeRequest()) {
            try {
                next.run();
            } finally {
                endRun();
            }
        }
    }

    private synchronized Runnable takeRequest() {
        if (action == null || !isRequested || isRunning) {
            return null;
        }
        isRequested = false;
        isRunning = true;
        return action;
    }

    private synchronized void endRun() {
        isRunning = false;
    }
}
