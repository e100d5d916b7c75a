package org.mangowall.standin.caller;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.locks.LockSupport;

import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.Dsl;
import org.mangowall.http.StrictHttpClients;
import org.mangowall.inventory.Runner;
import org.mangowall.kernel.duty.Duty;
import org.mangowall.kernel.failure.FailureCode;
import org.mangowall.kernel.failure.MangowallException;

/** One load test from the first call to the report. */
public final class LoadRun {

    private static final Duration TICK_PERIOD = Duration.ofMillis(2);
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(90);
    private static final Duration START_TIMEOUT = Duration.ofSeconds(30);
    private static final Duration DRAIN_TIMEOUT = Duration.ofSeconds(100);
    private static final long POLL_NANOS = TimeUnit.MILLISECONDS.toNanos(20);
    private static final int SPARE_QUEUE_EVENTS = 64;

    private final LoadSettings settings;
    private final AsyncHttpClient client;
    private final FleetClient fleetClient;
    private final LoadHandler handler;
    private final ServiceGapMeter gapMeter;
    private final EntryHostSelector entryHosts;
    private final Duty<LoadEvent> duty;

    private LoadRun(LoadSettings settings, AsyncHttpClient client) {
        this.settings = settings;
        this.client = client;
        this.fleetClient = new FleetClient(client);
        SplittableRandom random = new SplittableRandom(settings.seed());
        this.entryHosts = new EntryHostSelector(fleetClient, settings.routers(), random.split());
        List<PlanState> plans = createPlanStates(settings);
        this.gapMeter = new ServiceGapMeter(plans, weights(settings));
        this.handler = new LoadHandler(
                client,
                entryHosts,
                new DirectRunnerSelector(settings.inventory().runners()),
                random.split(),
                plans,
                gapMeter,
                this::offer);
        this.duty = new Duty<>("load", queueCapacityEvents(settings), TICK_PERIOD, handler);
    }

    /** Generates the load, waits for all responses and returns the report. */
    public static Map<String, Object> run(LoadSettings settings) {
        var configuration = Dsl.config()
                .setRequestTimeout(CALL_TIMEOUT)
                .setReadTimeout(CALL_TIMEOUT)
                .setMaxRequestRetry(0)
                .setHttpAdditionalChannelInitializer(StrictHttpClients::readStrictly)
                .setIoThreadsCount(2)
                .build();
        try (AsyncHttpClient client = Dsl.asyncHttpClient(configuration)) {
            return new LoadRun(settings, client).runAll();
        } catch (IOException failure) {
            throw new MangowallException(FailureCode.INTERNAL, "failed to close the HTTP client", failure);
        }
    }

    private static List<PlanState> createPlanStates(LoadSettings settings) {
        List<PlanState> plans = new ArrayList<>();
        for (LoadPlan plan : settings.loads()) {
            String run = Long.toString(System.currentTimeMillis(), Character.MAX_RADIX);
            plans.add(new PlanState(plan, "s" + settings.seed() + "-" + run + "-" + plans.size()));
        }
        return plans;
    }

    private static Map<String, Double> weights(LoadSettings settings) {
        Map<String, Double> weights = new HashMap<>();
        settings.inventory()
                .workspaces()
                .forEach(workspace -> weights.put(workspace.name().value(), workspace.weight()));
        return weights;
    }

    private static int queueCapacityEvents(LoadSettings settings) {
        int maximumOpenCalls =
                settings.loads().stream().mapToInt(PlanState::maximumOpenCalls).sum();
        return maximumOpenCalls + SPARE_QUEUE_EVENTS;
    }

    private void offer(LoadEvent event) {
        while (!duty.offer(event)) {
            Thread.onSpinWait();
        }
    }

    private Map<String, Object> runAll() {
        awaitEntryHosts();
        duty.start();
        pause(settings.warmUp());
        List<Runner> runners = settings.inventory().runners();
        RunnerSnapshot runnersBefore = RunnerSnapshot.take(fleetClient, runners);
        MetricsSnapshot metricsBefore = MetricsSnapshot.take(fleetClient, settings.operators());
        offer(new LoadEvent.MeasurementStarted());
        pause(settings.duration());
        RunnerSnapshot runnersAfter = RunnerSnapshot.take(fleetClient, runners);
        MetricsSnapshot metricsAfter = MetricsSnapshot.take(fleetClient, settings.operators());
        offer(new LoadEvent.LoadStopped());
        boolean allEnded = awaitDrained();
        duty.close();
        Map<String, Object> report = new LinkedHashMap<>();
        report.put("seed", settings.seed());
        report.put("measured_seconds", settings.duration().toMillis() / 1000.0);
        report.put("all_calls_ended", allEnded);
        putStatistics(report);
        report.put("service_gap_tokens_per_weight", gapMeter.toDocument());
        report.put("runners", runnersAfter.since(runnersBefore));
        report.put("between_routers", metricsAfter.since(metricsBefore));
        report.put("ledger", handler.outcomes().compare(readExecutions(runners)));
        return report;
    }

    private void awaitEntryHosts() {
        long deadline = System.nanoTime() + START_TIMEOUT.toNanos();
        boolean needed = settings.loads().stream().anyMatch(plan -> !plan.direct());
        while (needed && entryHosts.isEmpty()) {
            if (System.nanoTime() > deadline) {
                throw new MangowallException(FailureCode.NOT_READY, "no router returned any entry hosts in time");
            }
            entryHosts.refresh(System.nanoTime());
            LockSupport.parkNanos(POLL_NANOS);
        }
    }

    private static void pause(Duration time) {
        long deadline = System.nanoTime() + time.toNanos();
        while (System.nanoTime() < deadline) {
            LockSupport.parkNanos(Math.max(1, deadline - System.nanoTime()));
        }
    }

    private boolean awaitDrained() {
        try {
            handler.drained().get(DRAIN_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
            return true;
        } catch (TimeoutException late) {
            return false;
        } catch (InterruptedException interruption) {
            Thread.currentThread().interrupt();
            return false;
        } catch (ExecutionException failure) {
            throw new MangowallException(FailureCode.INTERNAL, "the load generator failed", failure);
        }
    }

    private void putStatistics(Map<String, Object> report) {
        AttemptStatistics total = new AttemptStatistics();
        Map<String, AttemptStatistics> byService = new TreeMap<>();
        Map<String, Object> byWorkspace = new TreeMap<>();
        long skipped = 0;
        for (PlanState plan : handler.plans()) {
            total.addAll(plan.statistics());
            String service = plan.plan().service() + (plan.plan().direct() ? " (direct)" : "");
            byService.computeIfAbsent(service, name -> new AttemptStatistics()).addAll(plan.statistics());
            byWorkspace.put(plan.plan().workspace() + " " + service, workspaceStatistics(plan));
            skipped += plan.skippedStarts();
        }
        report.put("skipped_starts", skipped);
        report.put("total", total.toDocument());
        Map<String, Object> services = new TreeMap<>();
        byService.forEach((service, statistics) -> services.put(service, statistics.toDocument()));
        report.put("by_service", services);
        report.put("by_hops", HopStatistics.of(fleetClient, settings.operators(), handler.statisticsByRoute()));
        report.put("by_workspace", byWorkspace);
    }

    private static Map<String, Object> workspaceStatistics(PlanState plan) {
        Map<String, Object> document = new LinkedHashMap<>();
        for (Verdict verdict : Verdict.values()) {
            document.put(
                    verdict.name().toLowerCase(Locale.ROOT), plan.statistics().count(verdict));
        }
        document.put("streamed_tokens", plan.streamedTokens().sum());
        return document;
    }

    private Map<String, Integer> readExecutions(List<Runner> runners) {
        Map<String, Integer> executions = new HashMap<>();
        Map<String, Boolean> readLedgers = new HashMap<>();
        for (Runner runner : runners) {
            var ledger = fleetClient
                    .getJson("http://" + runner.host() + ":" + runner.port() + "/ledger")
                    .join();
            String identifier = ledger.path("ledger").asText();
            if (!identifier.isEmpty() && readLedgers.put(identifier, true) == null) {
                CallOutcomes.addExecutions(executions, ledger);
            }
        }
        return executions;
    }
}
