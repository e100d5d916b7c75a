package org.mangowall.edge.peer;

import java.util.Collection;
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
import org.mangowall.edge.mirror.StoreAvailability;
import org.mangowall.edge.mirror.StoreMirror;
import org.mangowall.edge.model.HostRecord;
import org.mangowall.edge.traffic.LoadNews;

/**
 * Connections to other hosts: to all of them in a small fleet, to some in a large one, as {@link RelayPlan} says.
 *
 * <p>Each host speaks on the connections that it opens and listens on those that others open, so a path that works one
 * way only shows. Used on the network thread alone.
 */
public final class PeerMesh implements LoadNews, PeerChannel.Receiver {

    /** A connection on which nothing is answered for so long, several acknowledgements, is replaced. */
    private static final long UNANSWERED_NANOS = 1_800_000_000L;
    /** How long news waits for more of it, for each host of the fleet. */
    private static final long GATHER_NANOS_PER_HOST = 5_000_000L;

    /** Two hosts that place within this time don't know of each other; a shorter one costs more than it saves. */
    private static final long LEAST_GATHER_NANOS = 40_000_000L;
    /** News passes up to two relays, and should arrive while it still decides something. */
    private static final long MOST_GATHER_NANOS = 100_000_000L;

    /** A relay that is silent for so long, several times its usual pause, is left for the next one. */
    private static final long SOURCE_SILENT_NANOS = 600_000_000L;

    /** How often a host without news is heard: several times before it counts as silent. */
    private static final long HEARTBEAT_NANOS = 250_000_000L;
    /** Half of the shortest time for which news waits. */
    private static final long LEAST_TICK_MILLIS = 20;
    /** How often lost hosts are looked for and connections are planned; far below the time of silence. */
    private static final long PLAN_NANOS = 100_000_000L;
    /** How often a host that is heard is told so. */
    private static final long ACKNOWLEDGE_NANOS = 400_000_000L;

    /** A host that starts asks so many others what the runners keep; one of them may have just started as well. */
    private static final int PARTS_FROM_HOSTS = 2;

    private static final byte[] HEARD = PeerCodec.encode(new PeerNews.Heard());

    private final HostRecord self;
    private final FleetLoad fleet;
    private final StoreMirror mirror;
    private final DecisionLog log;
    private final LongSupplier nanos;
    private final Reporter reporter;
    private final StoreDuty duty;
    private final Dialer dialer;
    private final Membership membership;
    private final NewsBoard board = new NewsBoard();
    private final Map<String, PeerState> seeds = new HashMap<>();
    private RelayPlan plan = new RelayPlan(true, List.of());
    private String source = "";
    private long plannedAt;
    private long toldAt;
    private long acknowledgedAt;
    private boolean hasUrgentNews;
    private int partsAsked;

    /**
     * Starts alone.
     *
     * @param seedAddresses where some hosts may be found, IP:PORT
     * @param isReady whether this host takes requests
     */
    public PeerMesh(
            HostRecord self,
            Collection<String> seedAddresses,
            FleetLoad fleet,
            StoreMirror mirror,
            StoreAvailability contact,
            DecisionLog log,
            EventLoop loop,
            LongSupplier nanos,
            BooleanSupplier isReady) {
        this(self, seedAddresses, fleet, mirror, contact, log, new PeerDialer(loop), nanos, isReady);
    }

    PeerMesh(
            HostRecord self,
            Collection<String> seedAddresses,
            FleetLoad fleet,
            StoreMirror mirror,
            StoreAvailability contact,
            DecisionLog log,
            Dialer dialer,
            LongSupplier nanos,
            BooleanSupplier isReady) {
        this.self = self;
        this.fleet = fleet;
        this.mirror = mirror;
        this.duty = new StoreDuty(self, mirror, contact);
        this.membership = new Membership(self, fleet, contact, log);
        this.log = log;
        this.dialer = dialer;
        this.nanos = nanos;
        this.reporter = new Reporter(self, fleet, mirror, contact, isReady);
        this.plannedAt = nanos.getAsLong() - PLAN_NANOS;
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
         * @param receiver hears what comes on the connection
         * @param listener gets the connection, or nothing when there is none
         */
        void dial(String peerAddress, PeerChannel.Receiver receiver, Consumer<Optional<PeerChannel>> listener);
    }

    /** Begins to connect and to tell, and goes on until the thread ends. */
    public void start(EventLoop loop) {
        tick();
        loop.schedule(() -> start(loop), tickMillis(), TimeUnit.MILLISECONDS);
    }

    /** In a large fleet news waits longer, so there is less reason to wake up. */
    private long tickMillis() {
        long gatherMillis =
                TimeUnit.NANOSECONDS.toMillis(gatherNanos(membership.peers().size()));
        return Math.max(LEAST_TICK_MILLIS, gatherMillis / 2);
    }

    /** Accepts a connection of another host. */
    public void accept(Channel channel) {
        new PeerChannel(this).install(channel);
    }

    /** Takes a host that another source names. */
    public void found(HostRecord host) {
        membership.found(host);
    }

    @Override
    public void tell(LoadEvent event) {
        if (!membership.peers().isEmpty()) {
            reporter.note(event);
        }
    }

    /** Tells the others at once, for a change of this host's own state. */
    public void tellNow() {
        hasUrgentNews = true;
        tick();
    }

    /** The other hosts that take requests. */
    public List<HostRecord> readyPeers() {
        return membership.alive(nanos.getAsLong()).stream()
                .filter(PeerState::isReady)
                .map(PeerState::host)
                .toList();
    }

    /** Whether no other host is heard. */
    public boolean isAlone() {
        return membership.alive(nanos.getAsLong()).isEmpty();
    }

    /** Whether this host is one of those that ask the store for the others. */
    public boolean isOnStoreDuty() {
        long now = nanos.getAsLong();
        return duty.isOnDuty(membership.alive(now), now);
    }

    void tick() {
        long now = nanos.getAsLong();
        if (now - plannedAt >= PLAN_NANOS) {
            plannedAt = now;
            membership.forgetSilent(now);
            makePlan(now);
            connect(now);
        }
        if (duty.isDue(now)) {
            boolean isOnDuty = isOnStoreDuty();
            membership.peers().forEach(peer -> duty.tellMissing(peer, isOnDuty, now));
        }
        long gather = gatherNanos(membership.peers().size());
        long due = !reporter.hasNews() && board.isEmpty() ? Math.max(gather, HEARTBEAT_NANOS) : gather;
        if (hasUrgentNews || now - toldAt >= due) {
            hasUrgentNews = false;
            toldAt = now;
            report(now);
        }
    }

    private static long gatherNanos(int hosts) {
        return Math.clamp(GATHER_NANOS_PER_HOST * hosts, LEAST_GATHER_NANOS, MOST_GATHER_NANOS);
    }

    private void makePlan(long now) {
        List<HostRecord> candidates = membership.peers().stream()
                .filter(peer -> peer.mayBeTried(now))
                .map(PeerState::host)
                .toList();
        RelayPlan newPlan = RelayPlan.of(self, candidates);
        boolean isNewRole = newPlan.isRelay() != plan.isRelay();
        plan = newPlan;
        if (isNewRole) {
            log.write("relay", line -> {
                line.writeBooleanField("isRelay", plan.isRelay());
                line.writeNumberField("hosts", candidates.size() + 1L);
            });
        }
        source = findSource(now);
        for (PeerState peer : membership.peers()) {
            LinkRole role = roleFor(peer);
            if (peer.outbound() != null && !role.equals(peer.toldRole())) {
                peer.setToldRole(role);
                peer.outbound().send(new PeerNews.Hello(self, role, false, List.of()));
            }
        }
    }

    /** The relay from which this host takes the news of the fleet: the first of its plan that is heard. */
    private String findSource(long now) {
        return plan.contacts().stream()
                .filter(name -> membership.isSpeaking(name, SOURCE_SILENT_NANOS, now))
                .findFirst()
                .orElse("");
    }

    private LinkRole roleFor(PeerState peer) {
        boolean isSource =
                plan.isRelay() || source.isEmpty() || peer.host().name().equals(source);
        return new LinkRole(plan.isRelay(), isChosen(peer), isChosen(peer) && isSource);
    }

    private boolean isChosen(PeerState peer) {
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
            keepConnected(peer, isChosen(peer) || peer.role().isChosen(), now);
        }
    }

    private void keepConnected(PeerState peer, boolean isNeeded, long now) {
        boolean isUnanswered = peer.outbound() != null && now - peer.answeredAt() > UNANSWERED_NANOS;
        if (isUnanswered || peer.isLongUnneeded(isNeeded, now)) {
            peer.closeOutbound();
        }
        if (isNeeded && !peer.isDialing() && peer.outbound() == null && peer.mayBeTried(now)) {
            dial(peer, now);
        }
    }

    private void dial(PeerState peer, long now) {
        peer.beginDialing(now);
        dialer.dial(peer.host().peerAddress(), this, opened -> {
            peer.endDialing();
            opened.ifPresent(outbound -> greet(peer, outbound));
        });
    }

    private void greet(PeerState peer, PeerChannel outbound) {
        long now = nanos.getAsLong();
        LinkRole role = roleFor(peer);
        peer.opened(outbound, role, now);
        List<HostRecord> known =
                membership.alive(now).stream().map(PeerState::host).toList();
        boolean wantsParts = partsAsked < PARTS_FROM_HOSTS;
        partsAsked += wantsParts ? 1 : 0;
        outbound.send(new PeerNews.Hello(self, role, wantsParts, known));
        outbound.send(new PeerNews.Bundle(List.of(reporter.whole(now))));
    }

    private void report(long now) {
        reporter.next(now).forEach(board::add);
        boolean acknowledges = now - acknowledgedAt >= ACKNOWLEDGE_NANOS;
        acknowledgedAt = acknowledges ? now : acknowledgedAt;
        byte[] forRelays = PeerCodec.encode(board.forRelays());
        byte[] forMembers = PeerCodec.encode(board.forMembers());
        byte[] ownAlone = PeerCodec.encode(board.ofHost(self.name()));
        board.clear();
        for (PeerState peer : membership.peers()) {
            if (peer.outbound() != null && peer.outbound().isWritable()) {
                byte[] forMember = peer.role().wantsAll() ? forMembers : ownAlone;
                peer.outbound().send(peer.role().isRelay() ? forRelays : forMember);
                if (peer.takeWantsParts()) {
                    peer.outbound().send(new PeerNews.Parts(List.copyOf(fleet.keptParts())));
                }
            }
            if (acknowledges && peer.inbound() != null && now - peer.inboundAt() < HEARTBEAT_NANOS * 4) {
                peer.inbound().send(HEARD);
            }
        }
    }

    @Override
    public void received(PeerChannel from, PeerNews news) {
        long now = nanos.getAsLong();
        switch (news) {
            case PeerNews.Hello hello -> greeted(from, hello, now);
            case PeerNews.Bundle bundle -> bundleReceived(from, bundle, now);
            case PeerNews.Parts parts -> parts.kept().forEach(kept -> fleet.apply(self.name(), kept, now));
            case PeerNews.Objects objects -> mirror.change(objects.kind(), objects.objects(), objects.asOf());
            case PeerNews.Heard heard -> answered(from, now);
        }
    }

    private void greeted(PeerChannel from, PeerNews.Hello hello, long now) {
        if (hello.sender().name().equals(self.name())) {
            from.close();
            return;
        }
        PeerState peer = membership.greeted(hello.sender(), now);
        boolean isFirst = peer.inbound() != from;
        peer.greeted(from, hello);
        peer.noteInbound(now);
        hello.known().forEach(membership::found);
        if (isFirst) {
            from.send(HEARD);
        }
    }

    private void bundleReceived(PeerChannel from, PeerNews.Bundle bundle, long now) {
        PeerState sender = inboundOf(from);
        if (sender == null) {
            from.close();
            return;
        }
        sender.noteInbound(now);
        for (HostReport report : bundle.reports()) {
            boolean isDirect = report.host().equals(sender.host().name());
            if (!membership.apply(report, isDirect, now)) {
                continue;
            }
            if (sender.role().isRelay()) {
                board.addFromRelay(report);
            } else {
                board.add(report);
            }
        }
    }

    private void answered(PeerChannel from, long now) {
        allStates().filter(peer -> peer.outbound() == from).forEach(peer -> peer.noteAnswered(now));
    }

    private PeerState inboundOf(PeerChannel channel) {
        for (PeerState peer : membership.peers()) {
            if (peer.inbound() == channel) {
                return peer;
            }
        }
        return null;
    }

    private Stream<PeerState> allStates() {
        return Stream.concat(membership.peers().stream(), seeds.values().stream());
    }

    @Override
    public void closed(PeerChannel gone) {
        allStates().forEach(peer -> peer.closed(gone));
    }

    @Override
    public void unreadable(PeerChannel from, String reason) {
        log.write("peer-connection-failed", line -> line.writeStringField("reason", reason));
    }
}
