package org.mangowall.edge.overload;

import java.util.List;

/**
 * What {@link ConnectionRoom} decides.
 *
 * @param <C> the type of the connections
 */
public sealed interface RoomDecision<C> {

    /** There is room: connections are accepted, and none is closed. */
    record Accept<C>() implements RoomDecision<C> {}

    /**
     * Idle connections make room, and connections are accepted.
     *
     * @param connections those to close, which are idle
     */
    record CloseIdle<C>(List<C> connections) implements RoomDecision<C> {}

    /**
     * No connection is accepted until there is room.
     *
     * @param connections those to close, which are idle; they don't make enough room
     */
    record StopAccepting<C>(List<C> connections) implements RoomDecision<C> {}
}
