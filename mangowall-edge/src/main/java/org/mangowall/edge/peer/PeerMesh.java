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
import java.util.function.LongSupplier;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import org.mangowall.edge.decision.FleetLoad;
import org.mangowall.edge.decision.LoadEvent;
import org.mangowall.edge.log.DecisionLog;
import org.mangowall.edge.mirror.StoreContact;
import org.mangowall.edge.mirror.StoreMirror;
import org.mangowall.edge.model.HostRecord;
import org.mangowall.edge.traffic.LoadNews;
import org.mangowall.edge.wire.ObjectKind;
import org.mangowall.inventory.checked.HostAndPort;
import org.mangowall.inventory.checked.UnitSyntax;

/**
 * Connections to all other hosts.
 *
 * <p>Each host speaks on the connections that it opens and listens on those that others open, so a path that works one
 * way only shows. Used on the network thread alone.
 */
public final class PeerMesh implements LoadNews, PeerChannel.Receiver {

    /** A host that was not heard for so long is not named to callers. */
    private static final long SILENT_NANOS = 1_600_000_000L;
    /** The work of a host that was not heard for so long has ended with its connections. */
    private static final long GONE_NANOS = 3_000_000_000L;
    /** A connection on which nothing is answered for so long is replaced. */
    private static final long UNANSWERED_NANOS = 1_800_000_000L;
    /** How long news waits for more of it, for each host that gets it. */
    private static final long GATHER_NANOS_PER_HOST = 5_000_000L;

    private static final long LEAST_GATHER_NANOS = 40_000_000L;
    private static final long MOST_GATHER_NANOS = 700_000_000L;
    /** Above this size, news waits longer in proportion, since all hosts hear of all. */
    private static final double MIDDLE_FLEET_HOSTS = 20;

    private static final long HEARTBEAT_NANOS = 250_000_000L;
    private static final long TICK_MILLIS = 20;
    private static final int CONNECT_TIMEOUT_MILLIS = 500;
    private static final long FIRST_DIAL_PAUSE_NANOS = 100_000_000L;
    private static final long MOST_DIAL_PAUSE_NANOS = 1_000_000_000L;

    /** How often a host that is heard is told so. */
    private static final long ACKNOWLEDGE_NANOS = 400_000_000L;

    /** A host that starts asks so many others what the runners keep; one of them may have just started as well. */
    private static final int PARTS_FROM_HOSTS = 2;

    private static final byte[] HEARD = PeerCodec.encode(new PeerNews.Heard());

    private final HostRecord self;
    private final FleetLoad fleet;
    private final StoreMirror mirror;
    private final StoreContact contact;
    private final DecisionLog log;
    private final EventLoop loop;
    private final LongSupplier nanos;
    private final BooleanSupplier isReady;
    private final StoreDuty duty;
    private final Map<String, PeerState> peers = new HashMap<>();
    private final Map<String, PeerState> seeds = new HashMap<>();
    private List<LoadEvent> pending = new ArrayList<>();
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
            StoreContact contact,
            DecisionLog log,
            EventLoop loop,
            LongSupplier nanos,
            BooleanSupplier isReady) {
        this.self = self;
        this.fleet = fleet;
        this.mirror = mirror;
        this.contact = contact;
        this.duty = new StoreDuty(self.name(), mirror, contact);
        this.log = log;
        this.loop = loop;
        this.nanos = nanos;
        this.isReady = isReady;
        for (String address : seedAddresses) {
            if (!address.equals(self.peerAddress())) {
                seeds.put(address, new PeerState(new HostRecord("", 0, address, "", "")));
            }
        }
    }

    /** Begins to connect and to tell. */
    public void start() {
        loop.scheduleAtFixedRate(this::tick, 0, TICK_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Accepts a connection of another host. */
    public void accept(Channel channel) {
        new PeerChannel(this).install(channel);
    }

    /** Takes a host that another source names. */
    public void found(HostRecord host) {
        if (host.name().equals(self.name())) {
            return;
        }
        PeerState known = peers.get(host.name());
        if (known == null) {
            peers.put(host.name(), new PeerState(host));
            return;
        }
        if (host.incarnation() > known.host().incarnation() && known.inbound() == null) {
            known.setHost(host);
        }
    }

    @Override
    public void tell(LoadEvent event) {
        if (!peers.isEmpty()) {
            pending.add(event);
        }
    }

    /** Tells all hosts at once, for a change of this host's own state. */
    public void tellNow() {
        hasUrgentNews = true;
        tick();
    }

    /** The callers' addresses of the other hosts that take requests, by zone. */
    public List<HostRecord> readyPeers() {
        long now = nanos.getAsLong();
        return peers.values().stream()
                .filter(peer -> isAlive(peer, now) && peer.isReady())
                .map(PeerState::host)
                .toList();
    }

    private static boolean isAlive(PeerState peer, long now) {
        return peer.inbound() != null && now - peer.heardAt() < SILENT_NANOS;
    }

    private void tick() {
        long now = nanos.getAsLong();
        forgetSilent(now);
        seeds.values().forEach(seed -> dialIfNeeded(seed, now));
        peers.values().forEach(peer -> dialIfNeeded(peer, now));
        if (duty.isDue(now)) {
            boolean isOnDuty = isOnStoreDuty();
            peers.values().forEach(peer -> duty.tellMissing(peer, isOnDuty, now));
        }
        long gather = gatherNanos(peers.size());
        long due = pending.isEmpty() ? Math.max(gather, HEARTBEAT_NANOS) : gather;
        if (hasUrgentNews || now - toldAt >= due) {
            hasUrgentNews = false;
            toldAt = now;
            pulse(now);
        }
    }

    private static long gatherNanos(int hosts) {
        double crowding = Math.max(1, hosts / MIDDLE_FLEET_HOSTS);
        return Math.clamp((long) (GATHER_NANOS_PER_HOST * hosts * crowding), LEAST_GATHER_NANOS, MOST_GATHER_NANOS);
    }

    private void forgetSilent(long now) {
        List<String> names = new ArrayList<>();
        names.add(self.name());
        for (PeerState peer : peers.values()) {
            if (isAlive(peer, now) && peer.isReady()) {
                names.add(peer.host().name());
            }
            if (peer.isCounted() && (peer.inbound() == null || now - peer.heardAt() > GONE_NANOS)) {
                peer.setCounted(false);
                fleet.dropHost(peer.host().name());
                log.write(
                        "host-lost",
                        line -> line.writeStringField("peer", peer.host().name()));
            }
        }
        fleet.setHosts(names);
    }

    private void pulse(long now) {
        byte[] pulse = PeerCodec.encode(statePulse(pending));
        pending = new ArrayList<>();
        boolean acknowledges = now - acknowledgedAt >= ACKNOWLEDGE_NANOS;
        acknowledgedAt = acknowledges ? now : acknowledgedAt;
        for (PeerState peer : peers.values()) {
            if (peer.outbound() != null && peer.outbound().isWritable()) {
                peer.outbound().send(pulse);
                if (peer.wantsParts()) {
                    peer.setWantsParts(false);
                    peer.outbound().send(statePulse(List.copyOf(fleet.keptParts())));
                }
            }
            if (acknowledges && peer.inbound() != null && now - peer.heardAt() < HEARTBEAT_NANOS * 4) {
                peer.inbound().send(HEARD);
            }
        }
    }

    private void dialIfNeeded(PeerState peer, long now) {
        if (peer.outbound() != null && now - peer.answeredAt() > UNANSWERED_NANOS) {
            peer.outbound().close();
            peer.setOutbound(null, now);
        }
        boolean isKnownSeed = peer.host().name().isEmpty()
                && peers.values().stream()
                        .anyMatch(known -> known.outbound() != null
                                && known.host().peerAddress().equals(peer.host().peerAddress()));
        if (peer.outbound() != null || peer.isDialing() || isKnownSeed || now < peer.nextDialAt()) {
            return;
        }
        dial(peer, now);
    }

    private void dial(PeerState peer, long now) {
        Optional<HostAndPort> address = UnitSyntax.parseAddress(peer.host().peerAddress());
        if (address.isEmpty()) {
            return;
        }
        long pause = Math.clamp(peer.dialPauseNanos() * 2, FIRST_DIAL_PAUSE_NANOS, MOST_DIAL_PAUSE_NANOS);
        peer.setDialing(true);
        peer.setNextDial(now + pause, pause);
        PeerChannel outbound = new PeerChannel(this);
        new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        outbound.install(channel);
                    }
                })
                .connect(address.get().toSocketAddress())
                .addListener(done -> {
                    peer.setDialing(false);
                    if (done.isSuccess()) {
                        greet(peer, outbound);
                    }
                });
    }

    private void greet(PeerState peer, PeerChannel outbound) {
        long now = nanos.getAsLong();
        peer.setOutbound(outbound, now);
        peer.setNextDial(now, 0);
        List<HostRecord> known = peers.values().stream()
                .filter(other -> isAlive(other, now))
                .map(PeerState::host)
                .toList();
        boolean wantsParts = partsAsked < PARTS_FROM_HOSTS;
        partsAsked += wantsParts ? 1 : 0;
        outbound.send(new PeerNews.Hello(self, wantsParts, known));
        outbound.send(statePulse(fleet.ownWork()));
    }

    private PeerNews statePulse(List<LoadEvent> events) {
        Map<ObjectKind, Long> completeTo = new EnumMap<>(ObjectKind.class);
        for (ObjectKind kind : ObjectKind.values()) {
            completeTo.put(kind, mirror.completeTo(kind));
        }
        long ownAnswerAge = TimeUnit.NANOSECONDS.toMillis(nanos.getAsLong() - contact.lastOwnAnswerAt());
        return new PeerNews.Pulse(isReady.getAsBoolean(), !contact.isLost(), ownAnswerAge, completeTo, events);
    }

    @Override
    public void received(PeerChannel from, PeerNews news) {
        long now = nanos.getAsLong();
        switch (news) {
            case PeerNews.Hello hello -> greeted(from, hello, now);
            case PeerNews.Pulse pulse -> pulseReceived(from, pulse, now);
            case PeerNews.Objects objects -> mirror.change(objects.kind(), objects.objects(), objects.asOf());
            case PeerNews.Heard heard -> answered(from, now);
        }
    }

    private void greeted(PeerChannel from, PeerNews.Hello hello, long now) {
        HostRecord sender = hello.sender();
        if (sender.name().equals(self.name())) {
            from.close();
            return;
        }
        PeerState peer = peers.computeIfAbsent(sender.name(), name -> new PeerState(sender));
        boolean isNewStart = peer.host().incarnation() != sender.incarnation();
        if (isNewStart && peer.outbound() != null) {
            peer.outbound().close();
            peer.setOutbound(null, now);
        }
        if (peer.inbound() != null) {
            peer.inbound().close();
        }
        fleet.dropHost(sender.name());
        peer.setHost(sender);
        peer.setWantsParts(hello.wantsParts());
        peer.setInbound(from, now);
        peer.setCounted(true);
        peer.setNextDial(now, 0);
        log.write("host-heard", line -> {
            line.writeStringField("peer", sender.name());
            line.writeNumberField("incarnation", sender.incarnation());
        });
        hello.known().forEach(this::found);
        from.send(new PeerNews.Heard());
    }

    private void pulseReceived(PeerChannel from, PeerNews.Pulse pulse, long now) {
        PeerState peer = inboundOf(from);
        if (peer == null) {
            from.close();
            return;
        }
        peer.noteHeard(now);
        peer.setCounted(true);
        peer.setReady(pulse.isReady());
        peer.setCompleteTo(pulse.completeTo());
        contact.answeredOther(now - TimeUnit.MILLISECONDS.toNanos(pulse.storeAnswerAgeMillis()));
        pulse.events().forEach(event -> fleet.apply(peer.host().name(), event, now));
        peer.setHasStore(pulse.hasStore());
    }

    /** Whether this host is one of those that ask the store for the others. */
    public boolean isOnStoreDuty() {
        long now = nanos.getAsLong();
        return duty.isOnDuty(
                peers.values().stream().filter(peer -> isAlive(peer, now)).toList(), now);
    }

    private void answered(PeerChannel from, long now) {
        for (PeerState peer : peers.values()) {
            if (peer.outbound() == from) {
                peer.noteAnswered(now);
            }
        }
        for (PeerState seed : seeds.values()) {
            if (seed.outbound() == from) {
                seed.noteAnswered(now);
            }
        }
    }

    private PeerState inboundOf(PeerChannel channel) {
        for (PeerState peer : peers.values()) {
            if (peer.inbound() == channel) {
                return peer;
            }
        }
        return null;
    }

    @Override
    public void closed(PeerChannel gone) {
        long now = nanos.getAsLong();
        for (PeerState peer : peers.values()) {
            if (peer.inbound() == gone) {
                peer.setInbound(null, peer.heardAt());
            }
            if (peer.outbound() == gone) {
                peer.setOutbound(null, now);
            }
        }
        seeds.values().stream().filter(seed -> seed.outbound() == gone).forEach(seed -> seed.setOutbound(null, now));
    }

    @Override
    public void unreadable(PeerChannel from, String reason) {
        log.write("peer-connection-failed", line -> line.writeStringField("reason", reason));
    }
}
