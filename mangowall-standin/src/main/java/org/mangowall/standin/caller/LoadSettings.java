package org.mangowall.standin.caller;

import java.time.Duration;
import java.util.List;

import org.mangowall.inventory.checked.HostAndPort;
import org.mangowall.inventory.document.InventoryDocument;

/**
 * Settings of a load test.
 *
 * @param routers the caller addresses of the routers, which return the entry hosts
 * @param operators the operator addresses of the routers, for their status and metrics
 * @param inventory the inventory with the runners' addresses and the workspaces' weights
 * @param warmUp the duration of the load before the measurement
 * @param duration the duration of the measurement
 * @param seed the seed of all random choices
 * @param loads the load of each workspace and service
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

    /** Returns a copy with another seed and measurement duration. */
    public LoadSettings withSeedAndDuration(long otherSeed, Duration otherDuration) {
        return new LoadSettings(routers, operators, inventory, warmUp, otherDuration, otherSeed, loads);
    }
}
