package org.mangowall.router.spi;

import java.time.Clock;

import org.mangowall.inventory.Inventory;
import org.mangowall.kernel.name.RouterName;
import org.mangowall.platform.PlatformClient;
import org.mangowall.policy.fleet.FleetMember;
import org.mangowall.policy.fleet.FleetView;
import org.mangowall.protocol.PeerMessage;

/** Access of a control plane to its router; thread-safe. */
public interface ControlContext {

    /** Returns this router as a fleet member, with the ports to which it is bound. */
    FleetMember self();

    /** Returns the clock of the router. */
    Clock clock();

    /** Returns the seed for random number generators. */
    long seed();

    /** Returns the client of the platform. */
    PlatformClient platform();

    /**
     * Sends a message to another router, opening a connection if needed.
     *
     * @return false if the message was certainly dropped
     */
    boolean send(RouterName to, PeerMessage message);

    /** Puts an inventory into force; ignores it unless it is newer than the current one. */
    void installInventory(Inventory inventory);

    /** Replaces the fleet view, which includes this router itself. */
    void installFleetView(FleetView view);
}
