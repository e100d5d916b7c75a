package org.mangowall.benchmark.fleet;

import org.mangowall.kernel.name.RouterName;
import org.mangowall.policy.action.DecisionAction;

/** Receives the events of a simulated fleet. */
public interface FleetListener {

    /** Listener that ignores all events. */
    FleetListener NO_OP = new FleetListener() {};

    /** Called before an action that a router decided on is executed. */
    default void actionDecided(RouterName router, DecisionAction action) {}

    /** Called when a caller sends a request. */
    default void sent(RequestRecord request) {}

    /** Called when a runner has completed a request. */
    default void served(RequestRecord request) {}

    /** Called when a caller has received the end of its request. */
    default void ended(RequestRecord request) {}
}
