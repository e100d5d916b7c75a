package org.mangowall.edge.log;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

/** The counters and latency histograms of a host. */
public final class EdgeMetrics {

    private static final double[] LATENCY_BUCKETS_SECONDS = {
        0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.6, 1, 2, 4, 8, 16
    };

    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final Counter responses = Counter.builder()
            .name("mangowall_answers_total")
            .help("Answers given to callers, by route and status or failure code")
            .labelNames("route", "outcome")
            .register(registry);
    private final Counter sends = Counter.builder()
            .name("mangowall_sends_total")
            .help("Requests sent to runners, by service; repeats are told apart")
            .labelNames("service", "repeat")
            .register(registry);
    private final Counter runnerFailures = Counter.builder()
            .name("mangowall_runner_troubles_total")
            .help("Requests that a runner shed, failed, cut or left without an answer")
            .labelNames("service", "trouble")
            .register(registry);
    private final Counter runnerResponses = Counter.builder()
            .name("mangowall_runner_responses_total")
            .help("Streams that runners ended, by what delimits them and whether they ended inside an event")
            .labelNames("service", "framing", "inside_event")
            .register(registry);
    private final Counter strayResponses = Counter.builder()
            .name("mangowall_stray_responses_total")
            .help("Responses of runners, by service, that belonged to another request than the one that waited")
            .labelNames("service")
            .register(registry);
    private final Counter strayBytes = Counter.builder()
            .name("mangowall_stray_bytes_total")
            .help("How often a runner sent bytes that belong to no response, by service and place")
            .labelNames("service", "place")
            .register(registry);
    private final Counter moves = Counter.builder()
            .name("mangowall_run_moves_total")
            .help("Runs that went on with a copy of their memory, by service; those that stayed had no room elsewhere")
            .labelNames("service", "stayed")
            .register(registry);
    private final Counter storeCalls = Counter.builder()
            .name("mangowall_store_calls_total")
            .help("Calls of the platform's store, by outcome")
            .labelNames("outcome")
            .register(registry);
    private final Counter storeRestores = Counter.builder()
            .name("mangowall_store_restores_total")
            .help("How often the platform's store came back from a copy")
            .register(registry);
    private final Gauge isEntryOpen = Gauge.builder()
            .name("mangowall_entry_open")
            .help("Whether the host accepts connections of callers; 0 while it is behind")
            .register(registry);
    private final Gauge entryClosedSeconds = Gauge.builder()
            .name("mangowall_entry_closed_seconds")
            .help("How long the host has refused connections of callers since its start, because it was behind")
            .register(registry);
    private final Gauge callerConnections = Gauge.builder()
            .name("mangowall_caller_connections")
            .help("Open connections of callers, by whether a request is being read or processed")
            .labelNames("state")
            .register(registry);
    private final Counter closedForRoom = Counter.builder()
            .name("mangowall_connections_closed_for_room_total")
            .help("Idle connections of callers that were closed to leave descriptors for everything else")
            .register(registry);
    private final Counter acceptingStops = Counter.builder()
            .name("mangowall_accepting_stopped_total")
            .help("How often connections of callers began to be refused to leave descriptors for everything else")
            .register(registry);
    private final Counter acceptFailures = Counter.builder()
            .name("mangowall_accept_failures_total")
            .help("How often accepting connections failed, such as without a free descriptor")
            .register(registry);
    private final Gauge deferredRequests = Gauge.builder()
            .name("mangowall_deferred_requests")
            .help("Requests that were read and wait until the host's processor works on them")
            .register(registry);
    private final Gauge deferredSeconds = Gauge.builder()
            .name("mangowall_deferred_seconds")
            .help("How long the oldest of these requests has been waiting")
            .register(registry);
    private final Gauge heldBytes = Gauge.builder()
            .name("mangowall_held_bytes")
            .help("Memory held for requests and their responses, by part")
            .labelNames("part")
            .register(registry);
    private final Gauge pausedCallers = Gauge.builder()
            .name("mangowall_paused_callers")
            .help("Callers from whom the host doesn't read, since their bodies wait for room")
            .register(registry);
    private final Histogram firstByte = Histogram.builder()
            .name("mangowall_first_byte_seconds")
            .help("Time from a whole request to the first byte of its answer")
            .labelNames("route")
            .classicOnly()
            .classicUpperBounds(LATENCY_BUCKETS_SECONDS)
            .register(registry);

    /** Counts a response to a caller. */
    public void countResponse(String route, String outcome) {
        responses.labelValues(route, outcome).inc();
    }

    /** Counts an attempt to run a request on a runner. */
    public void countSend(String service, boolean isRetry) {
        sends.labelValues(service, Boolean.toString(isRetry)).inc();
    }

    /** Counts a run that goes on with a copy of its memory, at another runner or where it stopped. */
    public void countMove(String service, boolean isAtSource) {
        moves.labelValues(service, Boolean.toString(isAtSource)).inc();
    }

    /** Counts a request that a runner rejected, failed, aborted or did not respond to. */
    public void countRunnerFailure(String service, String failure) {
        runnerFailures.labelValues(service, failure).inc();
    }

    /** Counts a streamed response that its runner ended. */
    public void countRunnerResponse(String service, String framing, boolean isInsideEvent) {
        runnerResponses
                .labelValues(service, framing, Boolean.toString(isInsideEvent))
                .inc();
    }

    /** Counts a response that belonged to another request than the one that waited. */
    public void countStrayResponse(String service) {
        strayResponses.labelValues(service).inc();
    }

    /** Counts bytes of a runner that belong to no response. */
    public void countStrayBytes(String service, String place) {
        strayBytes.labelValues(service, place).inc();
    }

    /** Counts a call to the platform's store. */
    public void countStoreCall(String outcome) {
        storeCalls.labelValues(outcome).inc();
    }

    /** Counts a return of the platform's store from a copy. */
    public void countStoreRestore() {
        storeRestores.inc();
    }

    /** Records a change of the entry gate. */
    public void recordEntryGate(boolean isOpen, double closedSeconds) {
        isEntryOpen.set(isOpen ? 1 : 0);
        entryClosedSeconds.set(closedSeconds);
    }

    /** Records the open connections of callers. */
    public void recordCallerConnections(long busy, long idle) {
        callerConnections.labelValues("busy").set(busy);
        callerConnections.labelValues("idle").set(idle);
    }

    /** Counts idle connections that were closed to make room. */
    public void countClosedForRoom(int connections) {
        closedForRoom.inc(connections);
    }

    /** Counts that connections of callers are refused from now on to keep room. */
    public void countAcceptingStop() {
        acceptingStops.inc();
    }

    /** Counts a failure to accept connections. */
    public void countAcceptFailure() {
        acceptFailures.inc();
    }

    /** Records what was read and waits for the processor, and the age of the oldest. */
    public void recordDeferredWork(int waiting, double seconds) {
        deferredRequests.set(waiting);
        deferredSeconds.set(seconds);
    }

    /** Records the memory that a part holds. */
    public void recordHeldBytes(String part, long bytes) {
        heldBytes.labelValues(part).set(bytes);
    }

    /** Records from how many callers nothing is read until there is room. */
    public void recordPausedCallers(int callers) {
        pausedCallers.set(callers);
    }

    /** Records the time from a complete request to the first byte of its response. */
    public void observeFirstByte(String route, double seconds) {
        firstByte.labelValues(route).observe(seconds);
    }

    /** Returns all metrics in the Prometheus text format. */
    public byte[] text() {
        ByteArrayOutputStream text = new ByteArrayOutputStream();
        try {
            PrometheusTextFormatWriter.create().write(text, registry.scrape());
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
        return text.toByteArray();
    }
}
