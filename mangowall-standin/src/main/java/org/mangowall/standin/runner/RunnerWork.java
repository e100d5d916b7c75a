package org.mangowall.standin.runner;

/** The work of a request, started when a slot is free. */
@FunctionalInterface
public interface RunnerWork {

    /** Starts the work, which must eventually release the slot. */
    void begin(WorkSlot slot);
}
