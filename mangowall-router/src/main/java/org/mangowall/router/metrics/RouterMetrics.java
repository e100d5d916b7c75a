package org.mangowall.router.metrics;

import java.util.Locale;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.mangowall.protocol.MessageType;

/** The event counters and latency histogram of one router; each router in a JVM has its own registry. */
public final class RouterMetrics {

    private static final double[] LATENCY_BUCKETS_SECONDS = {
        0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 1.5, 2.5, 5, 10, 30
    };

    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final Counter requests =
            counter("mangowall_requests", "Requests by how they ended for the caller", "service", "outcome", "code");
    private final Histogram firstByteSeconds = Histogram.builder()
            .name("mangowall_first_byte_seconds")
            .help("Time from the whole request to the first byte of its answer")
            .labelNames("service")
            .classicOnly()
            .classicUpperBounds(LATENCY_BUCKETS_SECONDS)
            .register(registry);
    private final Counter runnerAttempts =
            counter("mangowall_runner_tries", "Tries of requests at runners by how they ended", "service", "outcome");
    private final Counter peerBytes =
            counter("mangowall_peer_bytes", "Bytes between routers, frame lengths included", "direction", "type");
    private final Counter peerFrames = counter("mangowall_peer_frames", "Frames between routers", "direction", "type");
    private final Counter lateFrames =
            counter("mangowall_late_frames_dropped", "Frames dropped because they were late or crossed", "type");
    private final Counter invalidFrames =
            counter("mangowall_invalid_frames", "Frames that ended their connection", "reason");
    private final Counter ringRefusals = counter("mangowall_ring_refusals", "Events refused by a full ring", "duty");
    private final Counter silentConnections =
            counter("mangowall_silent_connections", "Connections closed because they were silent", "side");

    private final Counter strayBytes =
            counter("mangowall_stray_bytes", "Connections on which a runner sent bytes of no response", "place");

    private Counter counter(String name, String help, String... labels) {
        return Counter.builder().name(name).help(help).labelNames(labels).register(registry);
    }

    /** Returns the registry with all metrics of the router. */
    public PrometheusRegistry registry() {
        return registry;
    }

    /** Counts a request that ended for its caller. */
    public void requestEnded(String service, String outcome, String code) {
        requests.labelValues(service, outcome, code).inc();
    }

    /** Records the time until the first byte of an answer was written to the caller. */
    public void firstByteSent(String service, double seconds) {
        firstByteSeconds.labelValues(service).observe(seconds);
    }

    /** Counts an attempt at a runner that ended. */
    public void runnerAttemptEnded(String service, String outcome) {
        runnerAttempts.labelValues(service, outcome).inc();
    }

    /** Counts a frame sent to another router. */
    public void frameSent(MessageType type, int bytes) {
        countFrame("out", type, bytes);
    }

    /** Counts a frame received from another router. */
    public void frameReceived(MessageType type, int bytes) {
        countFrame("in", type, bytes);
    }

    private void countFrame(String direction, MessageType type, int bytes) {
        String typeName = typeName(type);
        peerBytes.labelValues(direction, typeName).inc(bytes);
        peerFrames.labelValues(direction, typeName).inc();
    }

    /** Counts a frame that was dropped because it came too late or on the wrong connection. */
    public void lateFrameDropped(MessageType type) {
        lateFrames.labelValues(typeName(type)).inc();
    }

    /** Returns how many frames of the type were dropped as late. */
    public long lateFrameCount(MessageType type) {
        return (long) lateFrames.labelValues(typeName(type)).get();
    }

    /** Counts a connection between routers that was closed because of an invalid frame. */
    public void invalidFrameReceived(String reason) {
        invalidFrames.labelValues(reason).inc();
    }

    /** Counts an event that was refused because the ring buffer was full. */
    public void eventRefused(String duty) {
        ringRefusals.labelValues(duty).inc();
    }

    /** Counts a connection that was closed because nothing was received on it. */
    public void silentConnectionClosed(String side) {
        silentConnections.labelValues(side).inc();
    }

    /** Counts bytes of a runner that belong to no response. */
    public void strayBytesReceived(String place) {
        strayBytes.labelValues(place).inc();
    }

    private static String typeName(MessageType type) {
        return type.name().toLowerCase(Locale.ROOT);
    }
}
