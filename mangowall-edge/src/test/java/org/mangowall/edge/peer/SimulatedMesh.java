package org.mangowall.edge.peer;

import java.io.OutputStream;
import java.time.Clock;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

import io.netty.buffer.ByteBuf;
import io.netty.channel.embedded.EmbeddedChannel;
import org.mangowall.edge.decision.FleetLoad;
import org.mangowall.edge.decision.LoadEvent;
import org.mangowall.edge.log.DecisionLog;
import org.mangowall.edge.mirror.StoreAvailability;
import org.mangowall.edge.mirror.StoreMirror;
import org.mangowall.edge.model.HostRecord;

/** Hosts that tell each other of their work, on a clock that the test advances, with the bytes that pass counted. */
final class SimulatedMesh implements AutoCloseable {

    private static final long TICK_NANOS = 20_000_000L;
    private static final long SHARE_WINDOW_NANOS = 4_000_000_000L;

    private final Map<String, Host> hosts = new LinkedHashMap<>();
    private final List<Link> links = new ArrayList<>();
    private final DecisionLog log = new DecisionLog(OutputStream.nullOutputStream(), Clock.systemUTC(), "fleet");
    private long now = 1;
    private long messages;
    private long bytesBetweenZones;

    /** One host. */
    final class Host {
        private final HostRecord record;
        private final FleetLoad load;
        private final PeerMesh mesh;
        private boolean isRunning = true;

        private Host(HostRecord record, List<String> seeds) {
            this.record = record;
            this.load = new FleetLoad(record.name(), SHARE_WINDOW_NANOS);
            this.mesh = new PeerMesh(
                    record,
                    seeds,
                    load,
                    new StoreMirror(object -> {}),
                    new StoreAvailability(now),
                    log,
                    (address, receiver, listener) -> dial(record, address, receiver, listener),
                    () -> now,
                    () -> true);
        }

        FleetLoad load() {
            return load;
        }

        /** Tells of an event as the traffic of this host does. */
        void tell(LoadEvent event) {
            load.apply(record.name(), event, now);
            mesh.tell(event);
        }

        /** The names of the hosts that this one hears and that take requests. */
        List<String> heard() {
            return mesh.readyPeers().stream().map(HostRecord::name).sorted().toList();
        }
    }

    /** Both ends of a connection. */
    private record Link(HostRecord from, HostRecord to, EmbeddedChannel near, EmbeddedChannel far) {}

    Host start(HostRecord record, List<String> seeds) {
        Host host = new Host(record, seeds);
        hosts.put(record.peerAddress(), host);
        return host;
    }

    /** Ends a host; its connections are reset. */
    void kill(HostRecord record) {
        hosts.get(record.peerAddress()).isRunning = false;
        for (Link link : List.copyOf(links)) {
            if (link.from().equals(record) || link.to().equals(record)) {
                link.near().close();
                link.far().close();
                links.remove(link);
            }
        }
    }

    /** A host goes silent: its connections stay open, and nothing passes. */
    void freeze(HostRecord record) {
        hosts.get(record.peerAddress()).isRunning = false;
        links.removeIf(link -> link.from().equals(record) || link.to().equals(record));
    }

    private void dial(
            HostRecord from, String address, PeerChannel.Receiver receiver, Consumer<Optional<PeerChannel>> listener) {
        Host target = hosts.get(address);
        if (target == null || !target.isRunning) {
            listener.accept(Optional.empty());
            return;
        }
        PeerChannel outbound = new PeerChannel(receiver);
        EmbeddedChannel near = new EmbeddedChannel();
        outbound.install(near);
        EmbeddedChannel far = new EmbeddedChannel();
        target.mesh.accept(far);
        links.add(new Link(from, target.record, near, far));
        listener.accept(Optional.of(outbound));
    }

    /** Lets time pass. */
    void advance(long millis) {
        long until = now + millis * 1_000_000;
        while (now < until) {
            now += TICK_NANOS;
            hosts.values().stream().filter(host -> host.isRunning).forEach(host -> host.mesh.tick());
            pump();
        }
    }

    private void pump() {
        for (Link link : List.copyOf(links)) {
            pass(link, link.near(), link.far());
            pass(link, link.far(), link.near());
            if (!link.near().isOpen() || !link.far().isOpen()) {
                link.near().close();
                link.far().close();
                links.remove(link);
            }
        }
    }

    private void pass(Link link, EmbeddedChannel source, EmbeddedChannel target) {
        for (ByteBuf sent = source.readOutbound(); sent != null; sent = source.readOutbound()) {
            messages += 1;
            if (!link.from().zone().equals(link.to().zone())) {
                bytesBetweenZones += sent.readableBytes();
            }
            if (target.isOpen()) {
                target.writeInbound(sent);
            } else {
                sent.release();
            }
        }
    }

    long now() {
        return now;
    }

    /** Pieces of bytes that were handed to connections. */
    long messages() {
        return messages;
    }

    long bytesBetweenZones() {
        return bytesBetweenZones;
    }

    @Override
    public void close() {
        log.close();
    }
}
