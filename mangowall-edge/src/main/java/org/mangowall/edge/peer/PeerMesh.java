package org.mangowall.edge.peer;

import java.util.ArrayList;
import java.util.Collection;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.stream.Stream;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import org.mangowall.edge.decision.FleetLoad;
import org.mangowall.edge.decision.LoadEvent;
import org.mangowall.edge.log.DecisionLog;
import org.mangowall.edge.log.GuardedTask;
import org.mangowall.edge.log.TrafficMeter;
import org.mangowall.edge.mirror.StoreAvailability;
import org.mangowall.edge.mirror.StoreMirror;
import org.mangowall.edge.model.HostRecord;
import org.mangowall.edge.overload.PathDelay;
import org.mangowall.edge.traffic.LoadEventPublisher;
import org.mangowall.edge.wire.ObjectKind;

/**
 * Maintains the connections to other hosts that {@link RelayPlan} selects, and exchanges reports over them.
 *
 * <p>Each host sends reports on the connections that it opens and receives them on those that others open, so that a
 * path that fails in one direction only is detected. Confined to the network thread.
 */
public final class PeerMesh implements LoadEventPublisher, PeerChannel.Receiver {

    /** A connection without an acknowledgement for this time, several intervals, is replaced. */
    private static final long ACKNOWLEDGEMENT_TIMEOUT_NANOS = 1_800_000_000L;
    /** The delay by which reports are batched grows by this much for each host of the fleet. */
    private static final long BATCH_DELAY_NANOS_PER_HOST = 5_000_000L;

    /** Hosts are unaware of each other's placements for this time; a shorter delay costs more than it saves. */
    private static final long MIN_BATCH_DELAY_NANOS = 40_000_000L;
    /** Reports pass up to two relays and should arrive while they can still affect placement. */
    private static final long MAX_BATCH_DELAY_NANOS = 100_000_000L;

    /** A relay that is silent for this time, several report intervals, is replaced by the next one. */
    private static final long SOURCE_TIMEOUT_NANOS = 600_000_000L;

    /** Report interval of a host without events: several reports fit into the silence timeout. */
    private static final long HEARTBEAT_INTERVAL_NANOS = 250_000_000L;
    /** Half of the minimum batch delay. */
    private static final long MIN_TICK_MILLIS = 20;
    /** Interval between checks for lost hosts and updates of the relay plan; far below the silence timeout. */
    private static final long PLAN_INTERVAL_NANOS = 100_000_000L;
    /** Interval between acknowledgements to a host that sends reports. */
    private static final long ACKNOWLEDGE_INTERVAL_NANOS = 400_000_000L;

    /** How many peers a starting host asks for the prompt parts cached at runners; one may have just started too. */
    private static final int MAX_HANDOVER_REQUESTS = 2;

    private static final HostMessage FIRST_ACKNOWLEDGEMENT = new HostMessage.Acknowledgement(0, 0);

    private final HostRecord self;
    private final FleetLoad fleet;
    private final StoreMirror mirror;
    private final DecisionLog log;
    private final LongSupplier nanoClock;
    private final Reporter reporter;
    private final StoreReaders storeReaders;
    private final Dialer dialer;
    private final Membership membership;
    private final PathDelay pathDelay = new PathDelay(ACKNOWLEDGE_INTERVAL_NANOS);
    private final OutgoingReports outgoing = new OutgoingReports();
    private final Map<String, PeerState> seeds = new HashMap<>();
    private RelayPlan plan = new RelayPlan(true, List.of());
    private String source = "";
    private long plannedAt;
    private long reportedAt;
    private long acknowledgedAt;
    private boolean hasUrgentReport;
    private int handoverRequests;

    /**
     * Creates a mesh that knows only seed addresses.
     *
     * @param seedAddresses addresses at which some hosts may be found, IP:PORT
     * @param isReady whether this host accepts requests
     */
    public PeerMesh(
            HostRecord self,
            Collection<String> seedAddresses,
            FleetLoad fleet,
            StoreMirror mirror,
            StoreAvailability storeAvailability,
            DecisionLog log,
            EventLoop loop,
            TrafficMeter traffic,
            LongSupplier nanoClock,
            BooleanSupplier isReady) {
        this(
                self,
                seedAddresses,
                fleet,
                mirror,
                storeAvailability,
                log,
                new PeerDialer(loop, traffic),
                nanoClock,
                isReady);
    }

    PeerMesh(
            HostRecord self,
            Collection<String> seedAddresses,
            FleetLoad fleet,
            StoreMirror mirror,
            StoreAvailability storeAvailability,
            DecisionLog log,
            Dialer dialer,
            LongSupplier nanoClock,
            BooleanSupplier isReady) {
        this.self = self;
        this.fleet = fleet;
        this.mirror = mirror;
        this.storeReaders = new StoreReaders(self, mirror, storeAvailability);
        this.membership = new Membership(self, fleet, storeAvailability, log);
        this.log = log;
        this.dialer = dialer;
        this.nanoClock = nanoClock;
        this.reporter = new Reporter(self, fleet, mirror, storeAvailability, isReady);
        this.plannedAt = nanoClock.getAsLong() - PLAN_INTERVAL_NANOS;
        for (String address : seedAddresses) {
            if (!address.equals(self.peerAddress())) {
                seeds.put(address, new PeerState(new HostRecord("", 0, address, "", "", 0)));
            }
        }
    }

    /** Opens connections to other hosts. */
    interface Dialer {

        /**
         * Connects to a host.
         *
         * @param receiver receives the messages of the connection
         * @param listener gets the connection, or empty if connecting failed
         */
        void dial(String peerAddress, PeerChannel.Receiver receiver, Consumer<Optional<PeerChannel>> listener);
    }

    /** Starts to connect and report; continues until the event loop shuts down. */
    public void start(EventLoop loop) {
        new GuardedTask(log, "peer-mesh", this::tick).run();
        loop.schedule(() -> start(loop), tickMillis(), TimeUnit.MILLISECONDS);
    }

    /** The tick interval; longer in a large fleet, whose reports are batched for longer. */
    private long tickMillis() {
        long batchDelayMillis =
                TimeUnit.NANOSECONDS.toMillis(batchDelayNanos(membership.peers().size()));
        return Math.max(MIN_TICK_MILLIS, batchDelayMillis / 2);
    }

    /** Accepts a connection opened by another host. */
    public void accept(Channel channel) {
        new PeerChannel(this).install(channel);
    }

    /** Adds a host that was discovered outside the mesh. */
    public void addDiscovered(HostRecord host) {
        membership.addDiscovered(host);
    }

    @Override
    public void publish(LoadEvent event) {
        if (!membership.peers().isEmpty()) {
            reporter.add(event);
        }
    }

    /** Sends a report at once, after a change of this host's own state. */
    public void reportNow() {
        hasUrgentReport = true;
        tick();
    }

    /** The other hosts that accept requests. */
    public List<HostRecord> readyPeers() {
        return membership.alive(nanoClock.getAsLong()).stream()
                .filter(PeerState::isReady)
                .map(PeerState::host)
                .toList();
    }

    /** Whether no other host is alive. */
    public boolean isAlone() {
        return membership.alive(nanoClock.getAsLong()).isEmpty();
    }

    /** Whether this host is one of those that read the store for the fleet. */
    public boolean isStoreReader() {
        long now = nanoClock.getAsLong();
        return storeReaders.isReader(membership.alive(now), now);
    }

    /** The delay of this host's own network path, in milliseconds. */
    public double pathDelayMillis() {
        return pathDelay.delayMillis(nanoClock.getAsLong());
    }

    void tick() {
        long now = nanoClock.getAsLong();
        if (now - plannedAt >= PLAN_INTERVAL_NANOS) {
            plannedAt = now;
            membership.dropSilent(now);
            updatePlan(now);
            connect(now);
        }
        if (storeReaders.isComparisonDue(now)) {
            boolean isReader = isStoreReader();
            membership.peers().forEach(peer -> storeReaders.sendMissing(peer, isReader, now));
        }
        long batchDelay = batchDelayNanos(membership.peers().size());
        long reportInterval = !reporter.hasPendingEvents() && outgoing.isEmpty()
                ? Math.max(batchDelay, HEARTBEAT_INTERVAL_NANOS)
                : batchDelay;
        if (hasUrgentReport || now - reportedAt >= reportInterval) {
            hasUrgentReport = false;
            reportedAt = now;
            report(now);
        }
    }

    private static long batchDelayNanos(int hosts) {
        return Math.clamp(BATCH_DELAY_NANOS_PER_HOST * hosts, MIN_BATCH_DELAY_NANOS, MAX_BATCH_DELAY_NANOS);
    }

    private void updatePlan(long now) {
        List<HostRecord> candidates = membership.peers().stream()
                .filter(peer -> peer.mayBeReachable(now))
                .map(PeerState::host)
                .toList();
        RelayPlan newPlan = RelayPlan.of(self, candidates);
        boolean isRelayChanged = newPlan.isRelay() != plan.isRelay();
        plan = newPlan;
        if (isRelayChanged) {
            log.write("relay", line -> {
                line.writeBooleanField("isRelay", plan.isRelay());
                line.writeNumberField("hosts", candidates.size() + 1L);
            });
        }
        source = findSource(now);
        for (PeerState peer : membership.peers()) {
            LinkRole role = roleFor(peer);
            if (peer.outbound() != null && !role.equals(peer.announcedRole())) {
                peer.setAnnouncedRole(role);
                peer.outbound().send(new HostMessage.Hello(self, role, false, List.of(), PeerCodec.VERSION));
            }
        }
    }

    /** The relay from which this host gets the fleet's reports: the first contact with recent inbound messages. */
    private String findSource(long now) {
        return plan.contacts().stream()
                .filter(name -> membership.hasRecentInbound(name, SOURCE_TIMEOUT_NANOS, now))
                .findFirst()
                .orElse("");
    }

    private LinkRole roleFor(PeerState peer) {
        boolean isSource =
                plan.isRelay() || source.isEmpty() || peer.host().name().equals(source);
        return new LinkRole(plan.isRelay(), isContact(peer), isContact(peer) && isSource);
    }

    private boolean isContact(PeerState peer) {
        String name = peer.host().name();
        return name.isEmpty() || plan.contacts().contains(name);
    }

    private void connect(long now) {
        for (PeerState seed : seeds.values()) {
            boolean isKnown = membership.peers().stream()
                    .anyMatch(known -> known.isConnected()
                            && known.host().peerAddress().equals(seed.host().peerAddress()));
            keepConnected(seed, !isKnown, now);
        }
        for (PeerState peer : membership.peers()) {
            keepConnected(peer, isContact(peer) || peer.role().isNeeded(), now);
        }
    }

    private void keepConnected(PeerState peer, boolean isNeeded, long now) {
        boolean isUnacknowledged =
                peer.outbound() != null && now - peer.acknowledgedAt() > ACKNOWLEDGEMENT_TIMEOUT_NANOS;
        if (isUnacknowledged || peer.isLongUnneeded(isNeeded, now)) {
            peer.closeOutbound();
        }
        if (isNeeded && !peer.isDialing() && peer.outbound() == null && peer.mayBeReachable(now)) {
            dial(peer, now);
        }
    }

    private void dial(PeerState peer, long now) {
        peer.beginDialing(now);
        dialer.dial(peer.host().peerAddress(), this, opened -> {
            peer.endDialing();
            opened.ifPresent(outbound -> sendHello(peer, outbound));
        });
    }

    private void sendHello(PeerState peer, PeerChannel outbound) {
        long now = nanoClock.getAsLong();
        LinkRole role = roleFor(peer);
        peer.opened(outbound, role, now);
        List<HostRecord> known =
                membership.alive(now).stream().map(PeerState::host).toList();
        boolean wantsHandover = handoverRequests < MAX_HANDOVER_REQUESTS;
        handoverRequests += wantsHandover ? 1 : 0;
        outbound.send(new HostMessage.Hello(self, role, wantsHandover, known, PeerCodec.VERSION));
        outbound.send(new HostMessage.Reports(List.of(reporter.fullReport(now)), now));
    }

    private void report(long now) {
        reporter.nextReports(now).forEach(outgoing::add);
        boolean acknowledges = now - acknowledgedAt >= ACKNOWLEDGE_INTERVAL_NANOS;
        acknowledgedAt = acknowledges ? now : acknowledgedAt;
        Map<ReportScope, byte[]> plain = new EnumMap<>(ReportScope.class);
        Map<ReportScope, byte[]> compressed = new EnumMap<>(ReportScope.class);
        for (PeerState peer : membership.peers()) {
            if (peer.outbound() != null && peer.outbound().isWritable()) {
                ReportScope scope = scopeFor(peer);
                byte[] reports = plain.computeIfAbsent(scope, key -> encodeOutgoing(key, now));
                pathDelay.sent(peer.host().peerAddress(), now);
                peer.outbound()
                        .send(
                                peer.acceptsCompression()
                                        ? compressed.computeIfAbsent(scope, key -> PeerCodec.compress(reports))
                                        : reports);
                if (peer.takeHandoverRequest()) {
                    peer.outbound().send(new HostMessage.Handover(handoverEvents(now)));
                }
            }
            if (acknowledges && peer.inbound() != null && now - peer.lastInboundAt() < HEARTBEAT_INTERVAL_NANOS * 4) {
                peer.inbound().send(peer.nextAcknowledgement(now));
            }
        }
        outgoing.clear();
    }

    /** Which reports a peer takes from this host. */
    private enum ReportScope {
        OWN_ONLY,
        FOR_RELAYS,
        FOR_NON_RELAYS
    }

    private static ReportScope scopeFor(PeerState peer) {
        if (peer.role().isRelay()) {
            return ReportScope.FOR_RELAYS;
        }
        return peer.role().wantsAllReports() ? ReportScope.FOR_NON_RELAYS : ReportScope.OWN_ONLY;
    }

    private byte[] encodeOutgoing(ReportScope scope, long now) {
        return PeerCodec.encode(
                switch (scope) {
                    case OWN_ONLY -> outgoing.ofHost(self.name(), now);
                    case FOR_RELAYS -> outgoing.forRelays(now);
                    case FOR_NON_RELAYS -> outgoing.forNonRelays(now);
                });
    }

    private List<LoadEvent> handoverEvents(long now) {
        List<LoadEvent> events = new ArrayList<>(fleet.cachedParts());
        events.addAll(fleet.recentStreams(now));
        events.addAll(fleet.quarantine().all(now));
        events.addAll(fleet.rateLimits().inForce(now));
        return events;
    }

    @Override
    public void received(PeerChannel from, HostMessage message) {
        long now = nanoClock.getAsLong();
        switch (message) {
            case HostMessage.Hello hello -> helloReceived(from, hello, now);
            case HostMessage.Reports reports -> reportsReceived(from, reports, now);
            case HostMessage.Handover handover ->
                handover.events().forEach(event -> fleet.apply(self.name(), event, now));
            case HostMessage.StoreObjects objects -> storeObjectsReceived(from, objects);
            case HostMessage.AllObjectsRequest request -> allObjectsRequested(from, request.kind(), now);
            case HostMessage.Acknowledgement acknowledgement -> acknowledged(from, acknowledgement, now);
        }
    }

    private void storeObjectsReceived(PeerChannel from, HostMessage.StoreObjects update) {
        boolean isSame = storeReaders.apply(update);
        if (!isSame) {
            from.send(new HostMessage.AllObjectsRequest(update.kind()));
        }
        PeerState sender = peerOfInbound(from);
        log.write("store-update", line -> {
            line.writeStringField("peer", sender == null ? "" : sender.host().name());
            line.writeStringField("kind", update.kind().name());
            line.writeNumberField("objects", update.objects().size());
            line.writeNumberField("after", update.after().revision());
            line.writeNumberField("asOf", update.asOf().revision());
            line.writeNumberField("complete", mirror.completeTo(update.kind()).revision());
            line.writeBooleanField("differs", !isSame);
        });
    }

    private void allObjectsRequested(PeerChannel from, ObjectKind kind, long now) {
        membership.peers().stream()
                .filter(peer -> peer.outbound() == from)
                .forEach(peer -> storeReaders.sendAll(peer, kind, now));
    }

    private void helloReceived(PeerChannel from, HostMessage.Hello hello, long now) {
        if (hello.sender().name().equals(self.name())) {
            from.close();
            return;
        }
        PeerState peer = membership.addHeard(hello.sender(), now);
        boolean isFirst = peer.inbound() != from;
        peer.helloReceived(from, hello);
        peer.recordInbound(now);
        hello.known().forEach(membership::addDiscovered);
        if (isFirst) {
            from.send(FIRST_ACKNOWLEDGEMENT);
        }
    }

    private void reportsReceived(PeerChannel from, HostMessage.Reports reports, long now) {
        PeerState sender = peerOfInbound(from);
        if (sender == null) {
            from.close();
            return;
        }
        sender.recordInbound(now);
        sender.recordReports(reports, now);
        boolean isForwarding = isForwarding();
        for (HostReport report : reports.reports()) {
            boolean isDirect = report.host().equals(sender.host().name());
            if (!membership.apply(report, isDirect, now) || !isForwarding) {
                continue;
            }
            if (sender.role().isRelay()) {
                outgoing.addFromRelay(report);
            } else {
                outgoing.add(report);
            }
        }
    }

    /** Whether a peer takes reports of other hosts from this one; otherwise they need not be kept and encoded. */
    private boolean isForwarding() {
        return plan.isRelay()
                || membership.peers().stream().anyMatch(peer -> peer.role().wantsAllReports());
    }

    private void acknowledged(PeerChannel from, HostMessage.Acknowledgement acknowledgement, long now) {
        peersAndSeeds().filter(peer -> peer.outbound() == from).forEach(peer -> {
            peer.recordAcknowledgement(now);
            pathDelay.acknowledged(
                    peer.host().peerAddress(), acknowledgement.sentAt(), acknowledgement.heldNanos(), now);
        });
    }

    private PeerState peerOfInbound(PeerChannel channel) {
        for (PeerState peer : membership.peers()) {
            if (peer.inbound() == channel) {
                return peer;
            }
        }
        return null;
    }

    private Stream<PeerState> peersAndSeeds() {
        return Stream.concat(membership.peers().stream(), seeds.values().stream());
    }

    @Override
    public void closed(PeerChannel gone) {
        peersAndSeeds().forEach(peer -> {
            if (peer.outbound() == gone) {
                pathDelay.forget(peer.host().peerAddress());
            }
            peer.closed(gone);
        });
    }

    @Override
    public void invalidMessageReceived(PeerChannel from, String reason) {
        log.write("peer-connection-failed", line -> line.writeStringField("reason", reason));
    }
}
