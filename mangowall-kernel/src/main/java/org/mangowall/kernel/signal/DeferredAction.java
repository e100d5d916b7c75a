package org.mangowall.kernel.signal;

/**
 * An action that may be requested before it is known.
 *
 * <p>Requests that come before {@link #setAction} or while the action runs are merged into one more run of the action.
 * The action never runs twice at the same time. Thread-safe.
 */
final class DeferredAction {

    private Runnable action;
    private boolean isRequested;
    private boolean isRunning;

    /** Runs the action on this thread, unless it is unknown or running: then whoever sets or runs it does. */
    void request() {
        synchronized (this) {
            isRequested = true;
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
