package org.mangowall.edge.decision;

/** A request that a host sent to a runner and that has not ended yet. */
final class InFlightRequest {

    private final LoadEvent.Sent sent;
    private final RunnerState runner;
    private final long sentAt;
    private boolean hasResponseStarted;

    InFlightRequest(LoadEvent.Sent sent, RunnerState runner, long sentAt) {
        this.sent = sent;
        this.runner = runner;
        this.sentAt = sentAt;
    }

    LoadEvent.Sent sent() {
        return sent;
    }

    RunnerState runner() {
        return runner;
    }

    long sentAt() {
        return sentAt;
    }

    boolean hasResponseStarted() {
        return hasResponseStarted;
    }

    void markResponseStarted() {
        hasResponseStarted = true;
    }
}
