package org.mangowall.router.spi;

import org.mangowall.kernel.name.RouterName;
import org.mangowall.protocol.PeerMessage;

/** Membership, configuration and claims of one router. */
public interface ControlPlane extends AutoCloseable {

    /** Begins its work; all ports of the router are bound by now. */
    void start();

    /**
     * Takes a message of another router that is not about a request.
     *
     * <p>Called on a network thread: it must not block.
     */
    void messageReceived(RouterName from, long incarnation, PeerMessage message);

    /** The claims of idempotency keys. */
    ClaimGate claims();

    /** The configuration as operators read and write it. */
    ConfigurationAccess configuration();

    /** Whether the router has all it needs to take work, apart from its configuration. */
    boolean isReady();

    /** Begins a graceful shutdown: from now on other routers and callers are told to go elsewhere. */
    void leave();

    @Override
    void close();
}
