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

/** Which other hosts there are, which of them are heard, and what they report. */
final class Membership {

    /** A host that was not heard for so long, six heartbeats, is not named to callers. */
    private static final long SILENT_NANOS = 1_600_000_000L;
    /** The work of a host that was not heard for so long is taken to have ended: callers have left it by then. */
    private static final long GONE_NANOS = 3_000_000_000L;

    private final HostRecord self;
    private final FleetLoad fleet;
    private final StoreAvailability contact;
    private final DecisionLog log;
    private final Map<String, PeerState> peers = new HashMap<>();

    Membership(HostRecord self, FleetLoad fleet, StoreAvailability contact, DecisionLog log) {
        this.self = self;
        this.fleet = fleet;
        this.contact = contact;
        this.log = log;
    }

    Collection<PeerState> peers() {
        return peers.values();
    }

    /** The other hosts that are heard, directly or through relays. */
    List<PeerState> alive(long now) {
        return peers.values().stream().filter(peer -> isAlive(peer, now)).toList();
    }

    static boolean isAlive(PeerState peer, long now) {
        return peer.isConnected() && now - peer.heardAt() < SILENT_NANOS;
    }

    /** Whether something came lately on the connection over which a host speaks. */
    boolean isSpeaking(String name, long silentNanos, long now) {
        PeerState peer = peers.get(name);
        return peer != null && peer.inbound() != null && now - peer.inboundAt() < silentNanos;
    }

    /** Takes a host that another source names. */
    void found(HostRecord host) {
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

    /** Takes a host that connected to this one. */
    PeerState greeted(HostRecord sender, long now) {
        PeerState peer = peers.computeIfAbsent(sender.name(), name -> new PeerState(sender));
        if (peer.host().incarnation() != sender.incarnation()) {
            fleet.dropHost(sender.name());
            peer.restarted(sender);
        }
        noteHeard(peer, now);
        return peer;
    }

    /**
     * Takes a report, unless it is known already or can't be placed.
     *
     * @param isDirect whether it came from the host itself
     * @return whether it was new
     */
    boolean apply(HostReport report, boolean isDirect, long now) {
        if (report.host().equals(self.name())) {
            return false;
        }
        PeerState peer = peers.get(report.host());
        if (peer != null && !peer.isNewer(report, now - peer.heardAt() > SILENT_NANOS)) {
            return false;
        }
        HostState state = PeerCodec.decodeState(report.state());
        if (peer == null || peer.host().incarnation() != report.incarnation()) {
            if (state.record().isEmpty()) {
                return false;
            }
            peer = greeted(state.record().get(), now);
        }
        peer.take(report, state, isDirect);
        noteHeard(peer, now);
        contact.answeredOther(now - TimeUnit.MILLISECONDS.toNanos(state.storeAnswerAgeMillis()));
        if (state.record().isPresent()) {
            fleet.restate(report.host(), state.events(), now);
        } else {
            state.events().forEach(event -> fleet.apply(report.host(), event, now));
        }
        return true;
    }

    private void noteHeard(PeerState peer, long now) {
        peer.noteHeard(now);
        if (peer.isCounted()) {
            return;
        }
        peer.setCounted(true);
        log.write("host-heard", line -> {
            line.writeStringField("peer", peer.host().name());
            line.writeNumberField("incarnation", peer.host().incarnation());
        });
    }

    /** Forgets the work of hosts that are gone, and counts those that take requests. */
    void forgetSilent(long now) {
        List<String> names = new ArrayList<>();
        names.add(self.name());
        for (PeerState peer : peers.values()) {
            if (isAlive(peer, now) && peer.isReady()) {
                names.add(peer.host().name());
            }
            if (peer.isCounted() && (!peer.isConnected() || now - peer.heardAt() > GONE_NANOS)) {
                peer.setCounted(false);
                fleet.dropHost(peer.host().name());
                log.write("host-lost", line -> {
                    line.writeStringField("peer", peer.host().name());
                    line.writeNumberField("silentMillis", TimeUnit.NANOSECONDS.toMillis(now - peer.heardAt()));
                });
            }
        }
        fleet.setHosts(names);
    }
}
