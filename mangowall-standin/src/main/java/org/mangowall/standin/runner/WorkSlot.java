package org.mangowall.standin.runner;

/** The slot of one request; invalidated when the runner crashes or restarts. */
public final class WorkSlot {

    private final RunnerSimulator simulator;
    private final long generation;
    private boolean released;

    WorkSlot(RunnerSimulator simulator, long generation) {
        this.simulator = simulator;
        this.generation = generation;
    }

    /** Returns whether the slot is still held, so that the work may continue. */
    public boolean isHeld() {
        return !released && simulator.isCurrentGeneration(generation);
    }

    /** Releases the slot after the work is completed or cancelled; further calls have no effect. */
    public void release(boolean completed) {
        if (!isHeld()) {
            return;
        }
        released = true;
        simulator.releaseSlot(completed);
    }
}
