package org.mangowall.standin.caller;

import java.time.Duration;
import java.util.List;

import org.mangowall.inventory.checked.HostAndPort;
import org.mangowall.inventory.document.InventoryDocument;

/**
 * All that a run of callers needs.
 *
 * @param routers where to ask for entry hosts
 * @param operators the operator addresses of the routers, for their status and metrics
 * @param inventory the inventory with the runners' addresses and the workspaces' weights
 * @param warmUp the time before the measurement
 * @param duration the time of the measurement
 * @param seed the start of all random choices
 * @param loads what is sent
 */
public record LoadSettings(
        List<HostAndPort> routers,
        List<HostAndPort> operators,
        InventoryDocument inventory,
        Duration warmUp,
        Duration duration,
        long seed,
        List<LoadPlan> loads) {

    /** Copies the lists. */
    public LoadSettings {
        routers = List.copyOf(routers);
        operators = List.copyOf(operators);
        loads = List.copyOf(loads);
    }

    /** The same load with another seed and time. */
    public LoadSettings withRun(long otherSeed, Duration otherDuration) {
        return new LoadSettings(routers, operators, inventory, warmUp, otherDuration, otherSeed, loads);
    }
}
