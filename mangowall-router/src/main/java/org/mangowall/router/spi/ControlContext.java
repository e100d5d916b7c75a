package org.mangowall.router.spi;

import java.time.Clock;

import org.mangowall.inventory.Inventory;
import org.mangowall.kernel.name.RouterName;
import org.mangowall.platform.PlatformClient;
import org.mangowall.policy.fleet.FleetMember;
import org.mangowall.policy.fleet.FleetView;
import org.mangowall.protocol.PeerMessage;

/** What a control plane may use of its router; safe for use by several threads. */
public interface ControlContext {

    /** This router with the ports to which it is bound. */
    FleetMember self();

    /** The time by which the control plane decides. */
    Clock clock();

    /** The start of all random choices. */
    long seed();

    /** The platform. */
    PlatformClient platform();

    /**
     * Sends a message to another router, opening a connection if needed.
     *
     * @return false when it is certain that the message was dropped
     */
    boolean send(RouterName to, PeerMessage message);

    /** Puts a configuration in force; one that is not newer than the present one is ignored. */
    void installInventory(Inventory inventory);

    /** Replaces the view of the fleet; this router itself is part of it. */
    void installFleetView(FleetView view);
}
