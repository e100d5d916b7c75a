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
import org.mangowall.inventory.Runner;
import org.mangowall.kernel.duty.Duty;
import org.mangowall.kernel.failure.FailureCode;
import org.mangowall.kernel.failure.MangowallException;

/** One run of callers from the first call to the report. */
public final class CallerRun {

    private static final Duration TICK = Duration.ofMillis(2);
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(90);
    private static final Duration START_TIMEOUT = Duration.ofSeconds(30);
    private static final Duration DRAIN_TIMEOUT = Duration.ofSeconds(100);
    private static final long POLL_NANOS = TimeUnit.MILLISECONDS.toNanos(20);
    private static final int SPARE_RING_EVENTS = 64;

    private final LoadSettings settings;
    private final AsyncHttpClient client;
    private final FleetProbe probe;
    private final LoadHandler handler;
    private final GapMeter gapMeter;
    private final EntryHosts entryHosts;
    private final Duty<LoadEvent> duty;

    private CallerRun(LoadSettings settings, AsyncHttpClient client) {
        this.settings = settings;
        this.client = client;
        this.probe = new FleetProbe(client);
        SplittableRandom random = new SplittableRandom(settings.seed());
        this.entryHosts = new EntryHosts(probe, settings.routers(), random.split());
        List<PlanState> plans = makePlans(settings);
        this.gapMeter = new GapMeter(plans, weights(settings));
        this.handler = new LoadHandler(
                client,
                entryHosts,
                new DirectAddresses(settings.inventory().runners()),
                random.split(),
                plans,
                gapMeter,
                this::offer);
        this.duty = new Duty<>("load", ringEvents(settings), TICK, handler);
    }

    /** Makes the load, waits for all answers and gives the report. */
    public static Map<String, Object> run(LoadSettings settings) {
        var configuration = Dsl.config()
                .setRequestTimeout(CALL_TIMEOUT)
                .setReadTimeout(CALL_TIMEOUT)
                .setMaxRequestRetry(0)
                .setIoThreadsCount(2)
                .build();
        try (AsyncHttpClient client = Dsl.asyncHttpClient(configuration)) {
            return new CallerRun(settings, client).runAll();
        } catch (IOException failure) {
            throw new MangowallException(FailureCode.INTERNAL, "the client did not close", failure);
        }
    }

    private static List<PlanState> makePlans(LoadSettings settings) {
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

    private static int ringEvents(LoadSettings settings) {
        int mostOpenCalls =
                settings.loads().stream().mapToInt(PlanState::mostOpenCalls).sum();
        return mostOpenCalls + SPARE_RING_EVENTS;
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
        RunnerSnapshot runnersBefore = RunnerSnapshot.take(probe, runners);
        MetricsSnapshot metricsBefore = MetricsSnapshot.take(probe, settings.operators());
        offer(new LoadEvent.MeasurementBegins());
        pause(settings.duration());
        RunnerSnapshot runnersAfter = RunnerSnapshot.take(probe, runners);
        MetricsSnapshot metricsAfter = MetricsSnapshot.take(probe, settings.operators());
        offer(new LoadEvent.LoadStops());
        boolean allEnded = awaitDrained();
        duty.close();
        Map<String, Object> report = new LinkedHashMap<>();
        report.put("seed", settings.seed());
        report.put("measured_seconds", settings.duration().toMillis() / 1000.0);
        report.put("all_calls_ended", allEnded);
        putTallies(report);
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
                throw new MangowallException(FailureCode.NOT_READY, "no router names entry hosts");
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
            throw new MangowallException(FailureCode.INTERNAL, "the load failed", failure);
        }
    }

    private void putTallies(Map<String, Object> report) {
        Tally total = new Tally();
        Map<String, Tally> byService = new TreeMap<>();
        Map<String, Object> byWorkspace = new TreeMap<>();
        long skipped = 0;
        for (PlanState plan : handler.plans()) {
            total.addAll(plan.tally());
            String service = plan.plan().service() + (plan.plan().direct() ? " (direct)" : "");
            byService.computeIfAbsent(service, name -> new Tally()).addAll(plan.tally());
            byWorkspace.put(plan.plan().workspace() + " " + service, workspaceLine(plan));
            skipped += plan.skippedStarts();
        }
        report.put("skipped_starts", skipped);
        report.put("total", total.toDocument());
        Map<String, Object> services = new TreeMap<>();
        byService.forEach((service, tally) -> services.put(service, tally.toDocument()));
        report.put("by_service", services);
        report.put("by_hops", HopTallies.of(probe, settings.operators(), handler.tallyByPair()));
        report.put("by_workspace", byWorkspace);
    }

    private static Map<String, Object> workspaceLine(PlanState plan) {
        Map<String, Object> line = new LinkedHashMap<>();
        for (Verdict verdict : Verdict.values()) {
            line.put(verdict.name().toLowerCase(Locale.ROOT), plan.tally().count(verdict));
        }
        line.put("streamed_tokens", plan.streamedTokens().sum());
        return line;
    }

    private Map<String, Integer> readExecutions(List<Runner> runners) {
        Map<String, Integer> executions = new HashMap<>();
        Map<String, Boolean> readLedgers = new HashMap<>();
        for (Runner runner : runners) {
            var ledger = probe.getJson("http://" + runner.host() + ":" + runner.port() + "/ledger")
                    .join();
            String identifier = ledger.path("ledger").asText();
            if (!identifier.isEmpty() && readLedgers.put(identifier, true) == null) {
                CallOutcomes.addExecutions(executions, ledger);
            }
        }
        return executions;
    }
}
