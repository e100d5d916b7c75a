package org.mangowall.edge.peer;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.mangowall.edge.decision.FleetLoad;
import org.mangowall.edge.log.DecisionLog;
import org.mangowall.edge.mirror.StoreAvailability;
import org.mangowall.edge.model.HostRecord;

/** Tracks the other hosts of the fleet, which of them are alive, and the load that they report. */
final class Membership {

    /** A host that is silent for this time, six heartbeats, is no longer alive and not returned to callers. */
    private static final long SILENCE_TIMEOUT_NANOS = 1_600_000_000L;
    /** After this time the requests of a silent host no longer count: its callers use other hosts by then. */
    private static final long LOST_TIMEOUT_NANOS = 3_000_000_000L;

    private final HostRecord self;
    private final FleetLoad fleet;
    private final StoreAvailability storeAvailability;
    private final DecisionLog log;
    private final Map<String, PeerState> peers = new HashMap<>();

    Membership(HostRecord self, FleetLoad fleet, StoreAvailability storeAvailability, DecisionLog log) {
        this.self = self;
        this.fleet = fleet;
        this.storeAvailability = storeAvailability;
        this.log = log;
    }

    Collection<PeerState> peers() {
        return peers.values();
    }

    /** The other hosts that were heard from recently, directly or through relays. */
    List<PeerState> alive(long now) {
        return peers.values().stream().filter(peer -> isAlive(peer, now)).toList();
    }

    static boolean isAlive(PeerState peer, long now) {
        return peer.isConnected() && now - peer.lastHeardAt() < SILENCE_TIMEOUT_NANOS;
    }

    /** Whether a message arrived recently on the inbound connection from a host. */
    boolean hasRecentInbound(String name, long timeoutNanos, long now) {
        PeerState peer = peers.get(name);
        return peer != null && peer.inbound() != null && now - peer.lastInboundAt() < timeoutNanos;
    }

    /** Adds or updates a host that was discovered through another host or the store. */
    void addDiscovered(HostRecord host) {
        if (host.name().equals(self.name())) {
            return;
        }
        PeerState known = peers.get(host.name());
        if (known == null) {
            peers.put(host.name(), new PeerState(host));
            return;
        }
        if (host.incarnation() > known.host().incarnation() && !known.isConnected()) {
            known.restarted(host);
        }
    }

    /** Adds a host that this one heard from, or updates its incarnation. */
    PeerState addHeard(HostRecord sender, long now) {
        PeerState peer = peers.computeIfAbsent(sender.name(), name -> new PeerState(sender));
        if (peer.host().incarnation() != sender.incarnation()) {
            fleet.dropHost(sender.name());
            peer.restarted(sender);
        }
        recordHeard(peer, now);
        return peer;
    }

    /**
     * Applies a report, unless it is a duplicate or from an unknown incarnation whose identity it doesn't contain.
     *
     * @param isDirect whether the report was received from the host itself
     * @return whether the report was applied
     */
    boolean apply(HostReport report, boolean isDirect, long now) {
        if (report.host().equals(self.name())) {
            return false;
        }
        PeerState peer = peers.get(report.host());
        if (peer != null && !peer.isNewer(report, now - peer.lastHeardAt() > SILENCE_TIMEOUT_NANOS)) {
            return false;
        }
        HostState state = PeerCodec.decodeState(report.state());
        if (peer == null || peer.host().incarnation() != report.incarnation()) {
            if (state.record().isEmpty()) {
                return false;
            }
            peer = addHeard(state.record().get(), now);
        }
        peer.applyReport(report, state, isDirect);
        recordHeard(peer, now);
        storeAvailability.recordResponseToOtherHost(
                now - TimeUnit.MILLISECONDS.toNanos(state.storeResponseAgeMillis()));
        if (state.record().isPresent()) {
            fleet.applySnapshot(report.host(), state.events(), now);
        } else {
            state.events().forEach(event -> fleet.apply(report.host(), event, now));
        }
        return true;
    }

    private void recordHeard(PeerState peer, long now) {
        peer.recordHeard(now);
        if (peer.isCounted()) {
            return;
        }
        peer.setCounted(true);
        log.write("host-heard", line -> {
            line.writeStringField("peer", peer.host().name());
            line.writeNumberField("incarnation", peer.host().incarnation());
        });
    }

    /** Drops the in-flight requests of lost hosts, and updates the list of hosts that accept requests. */
    void dropSilent(long now) {
        List<String> names = new ArrayList<>();
        names.add(self.name());
        for (PeerState peer : peers.values()) {
            if (isAlive(peer, now) && peer.isReady()) {
                names.add(peer.host().name());
            }
            if (peer.isCounted() && (!peer.isConnected() || now - peer.lastHeardAt() > LOST_TIMEOUT_NANOS)) {
                peer.setCounted(false);
                fleet.dropHost(peer.host().name());
                log.write("host-lost", line -> {
                    line.writeStringField("peer", peer.host().name());
                    line.writeNumberField("silentMillis", TimeUnit.NANOSECONDS.toMillis(now - peer.lastHeardAt()));
                });
            }
        }
        fleet.setHosts(names);
    }
}
