package org.mangowall.kernel.duty;

/**
 * Handles the events of a {@link Duty}, always on the duty's own thread.
 *
 * @param <E> the type of the events
 */
public interface DutyHandler<E> {

    /** Handles one event. */
    void handle(E event);

    /** Is called after each batch of events, and after one tick period without events. */
    default void tick() {}
}
