package org.mangowall.edge.log;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

/** The counters and latency histograms of a host. */
public final class EdgeMetrics {

    private static final double[] LATENCY_SECONDS = {0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.6, 1, 2, 4, 8, 16};

    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final Counter answers = Counter.builder()
            .name("mangowall_answers_total")
            .help("Answers given to callers, by route and status or failure code")
            .labelNames("route", "outcome")
            .register(registry);
    private final Counter sends = Counter.builder()
            .name("mangowall_sends_total")
            .help("Requests sent to runners, by service; repeats are told apart")
            .labelNames("service", "repeat")
            .register(registry);
    private final Counter troubles = Counter.builder()
            .name("mangowall_runner_troubles_total")
            .help("Requests that a runner shed, failed, cut or left without an answer")
            .labelNames("service", "trouble")
            .register(registry);
    private final Counter storeCalls = Counter.builder()
            .name("mangowall_store_calls_total")
            .help("Calls of the platform's store, by outcome")
            .labelNames("outcome")
            .register(registry);
    private final Histogram firstByte = Histogram.builder()
            .name("mangowall_first_byte_seconds")
            .help("Time from a whole request to the first byte of its answer")
            .labelNames("route")
            .classicOnly()
            .classicUpperBounds(LATENCY_SECONDS)
            .register(registry);

    /** Counts an answer. */
    public void answered(String route, String outcome) {
        answers.labelValues(route, outcome).inc();
    }

    /** Counts a sending to a runner. */
    public void sent(String service, boolean isRepeat) {
        sends.labelValues(service, Boolean.toString(isRepeat)).inc();
    }

    /** Counts a trouble with a runner. */
    public void trouble(String service, String trouble) {
        troubles.labelValues(service, trouble).inc();
    }

    /** Counts a call of the store. */
    public void storeCall(String outcome) {
        storeCalls.labelValues(outcome).inc();
    }

    /** Records the time to an answer's first byte. */
    public void firstByte(String route, double seconds) {
        firstByte.labelValues(route).observe(seconds);
    }

    /** All metrics as Prometheus text. */
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
