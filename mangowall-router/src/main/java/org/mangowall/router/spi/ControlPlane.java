package org.mangowall.router.spi;

import org.mangowall.kernel.name.RouterName;
import org.mangowall.protocol.PeerMessage;

/** Maintains the membership, the configuration and the idempotency claims of one router. */
public interface ControlPlane extends AutoCloseable {

    /** Starts the control plane; called after all ports of the router are bound. */
    void start();

    /**
     * Receives a message of another router that concerns neither a request nor the scheduling.
     *
     * <p>Called on a network thread, so it must not block.
     */
    void messageReceived(RouterName from, long incarnation, PeerMessage message);

    /** Returns the service for claims of idempotency keys. */
    ClaimService claims();

    /** Returns the operators' access to the configuration. */
    ConfigurationAccess configuration();

    /** Whether the control plane lets the router accept requests; the router also needs a configuration. */
    boolean isReady();

    /** Starts a graceful shutdown: announces to other routers and callers that this router is leaving. */
    void leave();

    @Override
    void close();
}
