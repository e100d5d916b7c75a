package org.mangowall.router.control;

import org.mangowall.kernel.name.RouterName;
import org.mangowall.protocol.PeerMessage;
import org.mangowall.router.spi.ClaimService;
import org.mangowall.router.spi.ConfigurationAccess;
import org.mangowall.router.spi.ControlContext;
import org.mangowall.router.spi.ControlPlane;

/** Probes peers for membership, gets the configuration from platform and peers, and writes claims conditionally. */
final class MembershipControlPlane implements ControlPlane {

    private final FleetDuty fleet;
    private final ClaimsDuty claims;
    private final OperatorConfiguration configuration;

    MembershipControlPlane(ControlContext context) {
        this.claims = new ClaimsDuty(context);
        this.fleet = new FleetDuty(context, claims::viewChanged);
        this.configuration = new OperatorConfiguration(context, fleet);
    }

    @Override
    public void start() {
        claims.start();
        fleet.start();
    }

    @Override
    public void messageReceived(RouterName from, long incarnation, PeerMessage message) {
        switch (message) {
            case PeerMessage.ClaimAsk ask -> claims.handleClaimAsk(from, ask);
            case PeerMessage.ClaimAnswer answer -> claims.handleClaimAnswer(from, answer);
            case PeerMessage.ClaimSettled settled -> claims.handleClaimSettled(settled);
            default -> fleet.receive(from, message);
        }
    }

    @Override
    public ClaimService claims() {
        return claims;
    }

    @Override
    public ConfigurationAccess configuration() {
        return configuration;
    }

    @Override
    public boolean isReady() {
        return fleet.isJoined();
    }

    @Override
    public void leave() {
        fleet.leave();
    }

    @Override
    public void close() {
        fleet.close();
        claims.close();
    }
}
