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

    /** Installs a newer inventory; posts it to the decision duty first, so that later decisions are based on it. */
    void install(Inventory newer) {
        synchronized (this) {
            if (newer.version() <= inventory.version()) {
                return;
            }
            decisions.post(new DecisionEvent.ConfigurationChanged(newer));
            inventory = newer;
        }
        LOG.info("version %s is in force", newer.version());
    }

    void install(FleetView newer, PeerNetwork peers) {
        synchronized (this) {
            if (newer.equals(view)) {
                return;
            }
            view = newer;
            peers.update(newer);
        }
        decisions.post(new DecisionEvent.FleetChanged(newer));
    }
}
