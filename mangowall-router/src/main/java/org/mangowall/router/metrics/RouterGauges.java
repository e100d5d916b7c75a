package org.mangowall.router.metrics;

import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadInfo;
import java.lang.management.ThreadMXBean;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.function.ToDoubleFunction;

import io.prometheus.metrics.core.metrics.CounterWithCallback;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.mangowall.policy.DecisionStatus;
import org.mangowall.policy.DecisionStatus.RunnerStatus;
import org.mangowall.policy.DecisionStatus.ServiceStatus;

/** Metrics whose values are read from the router's state at each scrape. */
public final class RouterGauges {

    private static final String THREAD_PREFIX = "mangowall-";
    private static final double NANOS_PER_SECOND = 1e9;
    private static final Path MEMORY_STATUS_FILE = Path.of("/proc/self/statm");
    private static final int PAGE_BYTES = 4096;

    private final PrometheusRegistry registry;
    private final Supplier<DecisionStatus> status;

    /** Creates the gauges for a registry without registering them. */
    public RouterGauges(PrometheusRegistry registry, Supplier<DecisionStatus> status) {
        this.registry = registry;
        this.status = status;
    }

    /** Registers the metrics on decisions, threads and memory. */
    public void registerAll() {
        registerServiceGauge("mangowall_queue_requests", "Requests that wait at this home", ServiceStatus::waitingHere);
        registerServiceGauge(
                "mangowall_free_slots",
                "Requests that this home's runners would bear more",
                ServiceStatus::freeSlotsHere);
        registerServiceGauge(
                "mangowall_fairness_gap_cost", "Largest gap between two backlogged workspaces", ServiceStatus::gap);
        registerServiceGauge("mangowall_fairness_gap_bound_cost", "Stated bound of the gap", ServiceStatus::gapBound);
        registerRunnerGauge(
                "mangowall_runner_limit_requests", "Requests that a runner may have at once", RunnerStatus::limit);
        registerRunnerGauge("mangowall_runner_running_requests", "Requests sent and not ended", RunnerStatus::running);
        registerRunnerGauge(
                "mangowall_runner_reported_requests", "Requests that the runner last reported", RunnerStatus::reported);
        registerGauge(
                "mangowall_configuration_version",
                "Version of the configuration in force",
                () -> status.get().configurationVersion());
        registerGauge("process_resident_memory_bytes", "Resident memory of the process", RouterGauges::residentBytes);
        CounterWithCallback.builder()
                .name("mangowall_duty_cpu_seconds")
                .help("Processor time by duty; routers in one process share it")
                .labelNames("duty")
                .callback(callback -> cpuSeconds().forEach((duty, seconds) -> callback.call(seconds, duty)))
                .register(registry);
    }

    /** Registers a gauge without labels. */
    public void registerGauge(String name, String help, Supplier<Number> value) {
        GaugeWithCallback.builder()
                .name(name)
                .help(help)
                .callback(callback -> callback.call(value.get().doubleValue()))
                .register(registry);
    }

    private void registerServiceGauge(String name, String help, ToDoubleFunction<ServiceStatus> value) {
        registerLabeledGauge(
                name,
                help,
                new String[] {"service"},
                callback -> status.get()
                        .services()
                        .forEach(service -> callback.call(
                                value.applyAsDouble(service), service.service().value())));
    }

    private void registerRunnerGauge(String name, String help, ToDoubleFunction<RunnerStatus> value) {
        registerLabeledGauge(
                name,
                help,
                new String[] {"service", "runner"},
                callback -> status.get()
                        .runners()
                        .forEach(runner -> callback.call(
                                value.applyAsDouble(runner),
                                runner.service().value(),
                                runner.runner().value())));
    }

    private void registerLabeledGauge(
            String name, String help, String[] labels, Consumer<GaugeWithCallback.Callback> values) {
        GaugeWithCallback.builder()
                .name(name)
                .help(help)
                .labelNames(labels)
                .callback(values)
                .register(registry);
    }

    private static long residentBytes() {
        try {
            String[] pageCounts = Files.readString(MEMORY_STATUS_FILE).split(" ");
            return Long.parseLong(pageCounts[1]) * PAGE_BYTES;
        } catch (IOException failure) {
            return 0;
        }
    }

    private static Map<String, Double> cpuSeconds() {
        ThreadMXBean threads = ManagementFactory.getThreadMXBean();
        Map<String, Double> seconds = new TreeMap<>();
        for (ThreadInfo thread : threads.getThreadInfo(threads.getAllThreadIds())) {
            if (thread == null || !thread.getThreadName().startsWith(THREAD_PREFIX)) {
                continue;
            }
            String duty =
                    thread.getThreadName().substring(THREAD_PREFIX.length()).replaceAll("[-0-9]+$", "");
            double cpuTime = Math.max(0, threads.getThreadCpuTime(thread.getThreadId())) / NANOS_PER_SECOND;
            seconds.merge(duty, cpuTime, Double::sum);
        }
        return seconds;
    }
}
