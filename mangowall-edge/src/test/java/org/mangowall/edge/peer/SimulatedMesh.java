package org.mangowall.edge.peer;

import java.io.OutputStream;
import java.time.Clock;
import java.util.ArrayList;
import java.util.HashMap;
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

/** Hosts that exchange load reports over in-memory connections on a simulated clock; counts messages and bytes. */
final class SimulatedMesh implements AutoCloseable {

    private static final long TICK_NANOS = 20_000_000L;
    private static final long SHARE_WINDOW_NANOS = 4_000_000_000L;

    private final Map<String, Host> hosts = new LinkedHashMap<>();
    private final List<Link> links = new ArrayList<>();
    private final DecisionLog log = new DecisionLog(OutputStream.nullOutputStream(), Clock.systemUTC(), "fleet");
    private long now = 1;
    private final Map<String, Long> messagesByHost = new HashMap<>();
    private long messages;
    private long bytesBetweenZones;

    /** A simulated host. */
    final class Host {
        private final HostRecord record;
        private final FleetLoad load;
        private final StoreMirror mirror = new StoreMirror(object -> {}, (previous, current) -> {});
        private final PeerMesh mesh;
        private boolean isRunning = true;

        private Host(HostRecord record, List<String> seeds) {
            this.record = record;
            this.load = new FleetLoad(record.name(), SHARE_WINDOW_NANOS);
            this.mesh = new PeerMesh(
                    record,
                    seeds,
                    load,
                    mirror,
                    new StoreAvailability(now),
                    log,
                    (address, receiver, listener) -> dial(record, address, receiver, listener),
                    () -> now,
                    () -> true);
        }

        FleetLoad load() {
            return load;
        }

        StoreMirror mirror() {
            return mirror;
        }

        boolean isStoreReader() {
            return mesh.isStoreReader();
        }

        /** Applies and publishes a load event, as requests at this host do. */
        void publish(LoadEvent event) {
            load.apply(record.name(), event, now);
            mesh.publish(event);
        }

        /** The names of the other hosts that are alive and accept requests, as seen by this one. */
        List<String> readyPeers() {
            return mesh.readyPeers().stream().map(HostRecord::name).sorted().toList();
        }
    }

    /** A connection: {@code near} belongs to the dialling host, {@code far} to the accepting one. */
    private record Link(HostRecord from, HostRecord to, EmbeddedChannel near, EmbeddedChannel far) {}

    Host start(HostRecord record, List<String> seeds) {
        Host host = new Host(record, seeds);
        hosts.put(record.peerAddress(), host);
        return host;
    }

    /** Stops a host and closes its connections. */
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

    /** Stops a host without closing its connections, which transfer no more data. */
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

    /** Advances the clock, ticks the running hosts and transfers their messages. */
    void advance(long millis) {
        long until = now + millis * 1_000_000;
        while (now < until) {
            now += TICK_NANOS;
            hosts.values().stream().filter(host -> host.isRunning).forEach(host -> host.mesh.tick());
            transferAll();
        }
    }

    private void transferAll() {
        for (Link link : List.copyOf(links)) {
            long before = messages;
            transfer(link, link.near(), link.far());
            messagesByHost.merge(link.from().name(), messages - before, Long::sum);
            transfer(link, link.far(), link.near());
            if (!link.near().isOpen() || !link.far().isOpen()) {
                link.near().close();
                link.far().close();
                links.remove(link);
            }
        }
    }

    private void transfer(Link link, EmbeddedChannel source, EmbeddedChannel target) {
        for (ByteBuf buffer = source.readOutbound(); buffer != null; buffer = source.readOutbound()) {
            messages += 1;
            if (!link.from().zone().equals(link.to().zone())) {
                bytesBetweenZones += buffer.readableBytes();
            }
            if (target.isOpen()) {
                target.writeInbound(buffer);
            } else {
                buffer.release();
            }
        }
    }

    long now() {
        return now;
    }

    /** The number of buffers written to connections. */
    long messages() {
        return messages;
    }

    /** The number of buffers that a host wrote to the connections that it opened. */
    long messagesFrom(HostRecord record) {
        return messagesByHost.getOrDefault(record.name(), 0L);
    }

    long bytesBetweenZones() {
        return bytesBetweenZones;
    }

    @Override
    public void close() {
        log.close();
    }
}
