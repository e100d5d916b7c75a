package org.mangowall.router;

import org.mangowall.inventory.Inventory;
import org.mangowall.kernel.log.ComponentLog;
import org.mangowall.policy.event.DecisionEvent;
import org.mangowall.policy.fleet.FleetView;
import org.mangowall.router.decision.DecisionSink;
import org.mangowall.router.peer.PeerNetwork;

/** Holds the inventory in force and the fleet view of one router. */
final class FleetState {

    private static final ComponentLog LOG = ComponentLog.of("configuration");

    private final DecisionSink decisions;
    private volatile Inventory inventory = Inventory.builder(0).build();
    private volatile FleetView view = FleetView.of(java.util.List.of());

    FleetState(DecisionSink decisions) {
        this.decisions = decisions;
    }

    Inventory inventory() {
        return inventory;
    }

    FleetView view() {
        return view;
    }

    /** Installs a newer inventory; posted to the decision duty first, so that no visible inventory is unknown to it. */
    void install(Inventory newInventory) {
        synchronized (this) {
            if (newInventory.version() <= inventory.version()) {
                return;
            }
            decisions.post(new DecisionEvent.ConfigurationChanged(newInventory));
            inventory = newInventory;
        }
        LOG.info("version %s is in force", newInventory.version());
    }

    void install(FleetView newView, PeerNetwork peers) {
        synchronized (this) {
            if (newView.equals(view)) {
                return;
            }
            view = newView;
            peers.update(newView);
        }
        decisions.post(new DecisionEvent.FleetChanged(newView));
    }
}
