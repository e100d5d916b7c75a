package org.mangowall.standin.runner;

/** The slot of one request in one run of a runner; lost when the runner falls over or restarts. */
public final class WorkSlot {

    private final RunnerProcess process;
    private final long run;
    private boolean finished;

    WorkSlot(RunnerProcess process, long run) {
        this.process = process;
        this.run = run;
    }

    /** Whether the work may go on. */
    public boolean isHeld() {
        return !finished && process.isRun(run);
    }

    /** Gives the slot back after the work was done or cancelled; later calls do nothing. */
    public void finish(boolean completed) {
        if (!isHeld()) {
            return;
        }
        finished = true;
        process.releaseSlot(completed);
    }
}
