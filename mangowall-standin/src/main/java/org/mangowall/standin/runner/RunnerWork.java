package org.mangowall.standin.runner;

/** Work that begins when a slot is free. */
@FunctionalInterface
public interface RunnerWork {

    /** Begins the work, which has to finish the slot in the end. */
    void begin(WorkSlot slot);
}
