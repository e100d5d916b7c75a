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

/** The metrics that are read from the parts of a router when they are collected. */
public final class RouterGauges {

    private static final String THREAD_PREFIX = "mangowall-";
    private static final double NANOS_PER_SECOND = 1e9;
    private static final Path MEMORY_FILE = Path.of("/proc/self/statm");
    private static final int PAGE_BYTES = 4096;

    private final PrometheusRegistry registry;
    private final Supplier<DecisionStatus> status;

    /** Creates gauges in the given registry; nothing is registered yet. */
    public RouterGauges(PrometheusRegistry registry, Supplier<DecisionStatus> status) {
        this.registry = registry;
        this.status = status;
    }

    /** Registers the gauges of decisions, threads and memory. */
    public void registerAll() {
        service("mangowall_queue_requests", "Requests that wait at this home", ServiceStatus::waitingHere);
        service(
                "mangowall_free_slots",
                "Requests that this home's runners would bear more",
                ServiceStatus::freeSlotsHere);
        service("mangowall_fairness_gap_cost", "Largest gap between two backlogged workspaces", ServiceStatus::gap);
        service("mangowall_fairness_gap_bound_cost", "Stated bound of the gap", ServiceStatus::gapBound);
        runner("mangowall_runner_limit_requests", "Requests that a runner may have at once", RunnerStatus::limit);
        runner("mangowall_runner_running_requests", "Requests sent and not ended", RunnerStatus::running);
        runner("mangowall_runner_reported_requests", "Requests that the runner last reported", RunnerStatus::reported);
        single(
                "mangowall_configuration_version",
                "Version of the configuration in force",
                () -> status.get().configurationVersion());
        single("process_resident_memory_bytes", "Resident memory of the process", RouterGauges::residentBytes);
        CounterWithCallback.builder()
                .name("mangowall_duty_cpu_seconds")
                .help("Processor time by duty; routers in one process share it")
                .labelNames("duty")
                .callback(callback -> cpuSeconds().forEach((duty, seconds) -> callback.call(seconds, duty)))
                .register(registry);
    }

    /** Registers a gauge without labels. */
    public void single(String name, String help, Supplier<Number> value) {
        GaugeWithCallback.builder()
                .name(name)
                .help(help)
                .callback(callback -> callback.call(value.get().doubleValue()))
                .register(registry);
    }

    private void service(String name, String help, ToDoubleFunction<ServiceStatus> value) {
        gauge(
                name,
                help,
                new String[] {"service"},
                callback -> status.get()
                        .services()
                        .forEach(service -> callback.call(
                                value.applyAsDouble(service), service.service().value())));
    }

    private void runner(String name, String help, ToDoubleFunction<RunnerStatus> value) {
        gauge(
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

    private void gauge(String name, String help, String[] labels, Consumer<GaugeWithCallback.Callback> values) {
        GaugeWithCallback.builder()
                .name(name)
                .help(help)
                .labelNames(labels)
                .callback(values)
                .register(registry);
    }

    private static long residentBytes() {
        try {
            String[] pages = Files.readString(MEMORY_FILE).split(" ");
            return Long.parseLong(pages[1]) * PAGE_BYTES;
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
            double spent = Math.max(0, threads.getThreadCpuTime(thread.getThreadId())) / NANOS_PER_SECOND;
            seconds.merge(duty, spent, Double::sum);
        }
        return seconds;
    }
}
