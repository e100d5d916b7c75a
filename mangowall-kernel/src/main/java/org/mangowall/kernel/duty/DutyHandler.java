package org.mangowall.kernel.duty;

/**
 * The work of one duty, always called on the duty's own thread.
 *
 * @param <E> the events that the duty takes
 */
public interface DutyHandler<E> {

    /** Takes one event from the ring. */
    void handle(E event);

    /** Is called after at most one tick period, and after each batch of events. */
    default void tick() {}
}
