package org.mangowall.benchmark.fleet;

import org.mangowall.kernel.name.RouterName;
import org.mangowall.policy.action.DecisionAction;

/** Is told what happens in a simulated fleet. */
public interface FleetListener {

    /** Hears nothing. */
    FleetListener SILENT = new FleetListener() {};

    /** A router ordered something. */
    default void acted(RouterName router, DecisionAction action) {}

    /** A caller sends a request. */
    default void sent(RequestRecord request) {}

    /** A runner has served a request to its end. */
    default void served(RequestRecord request) {}

    /** A caller was told the end of its request. */
    default void ended(RequestRecord request) {}
}
