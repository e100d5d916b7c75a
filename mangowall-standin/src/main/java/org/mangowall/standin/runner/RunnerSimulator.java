package org.mangowall.standin.runner;

import java.net.InetSocketAddress;
import java.time.Clock;
import java.util.ArrayDeque;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.channel.EventLoop;
import org.mangowall.kernel.log.ComponentLog;
import org.mangowall.standin.http.ExchangeHandler;
import org.mangowall.standin.http.HttpExchange;
import org.mangowall.standin.http.Json;
import org.mangowall.standin.http.StandInServer;

/**
 * Simulates one runner: its HTTP server, work slots, warm-up and injected faults. Confined to its event loop.
 *
 * <p>A cold runner crashes when its load exceeds its capacity times the overload tolerance: it resets all connections,
 * refuses new ones during the restart pause and then starts again, cold and with a new start time.
 */
public final class RunnerSimulator implements AutoCloseable {

    private static final ComponentLog LOG = ComponentLog.of("standin");
    private static final int MAXIMUM_QUEUED_REQUESTS = 4096;

    private final RunnerStandInSettings settings;
    private final Clock clock;
    private final EventLoop eventLoop;
    private final SideEffectLedger ledger;
    private final ExchangeHandler serviceHandler;
    private final Queue<QueuedRequest> queue = new ArrayDeque<>();
    private final StandInServer server;
    private final ScheduledFuture<?> loadUpdates;
    private WarmUp warmUp;
    private RunnerFaults faults = RunnerFaults.none();
    private LoadDocument reportedLoad;
    private long generation = 1;
    private int running;
    private long completed;
    private long overloadCrashes;
    private int peakRequests;
    private final BusyTime busyTime = new BusyTime();

    /** Starts the server; {@code serviceHandler} handles all paths but the load, control and ledger documents. */
    public RunnerSimulator(
            RunnerStandInSettings settings,
            EventLoop eventLoop,
            Clock clock,
            SideEffectLedger ledger,
            ExchangeHandler serviceHandler) {
        this.settings = settings;
        this.clock = clock;
        this.eventLoop = eventLoop;
        this.ledger = ledger;
        this.serviceHandler = serviceHandler;
        this.warmUp = new WarmUp(settings, clock.instant());
        this.reportedLoad = currentLoad();
        this.server =
                StandInServer.start(eventLoop, new InetSocketAddress(settings.host(), settings.port()), this::handle);
        long lagMillis = Math.max(1, settings.loadLag().toMillis());
        this.loadUpdates =
                eventLoop.scheduleAtFixedRate(this::updateReportedLoad, lagMillis, lagMillis, TimeUnit.MILLISECONDS);
    }

    /** Returns the TCP port on which the runner listens. */
    public int port() {
        return server.port();
    }

    /** Runs a task once on the event loop after a delay. */
    public void schedule(Runnable work, long delayMillis) {
        eventLoop.schedule(work, delayMillis, TimeUnit.MILLISECONDS);
    }

    /** Returns the injected delay of responses. */
    public long responseDelayMillis() {
        return faults.responseDelayMillis();
    }

    private void handle(HttpExchange exchange) {
        switch (exchange.path()) {
            case "/load" -> exchange.respondJson(200, reportedLoad);
            case "/control" -> handleControl(exchange);
            case "/ledger" -> exchange.respondJson(200, ledger.toDocument());
            default -> serviceHandler.handle(exchange);
        }
    }

    /** Admits a request: starts its work, queues it until a slot is free, refuses it, or crashes under the load. */
    public void admit(HttpExchange exchange, RunnerWork work) {
        if (faults.requestsToRefuse() > 0) {
            faults = faults.withRefusalConsumed();
            refuse(exchange);
            return;
        }
        int load = running + queue.size() + 1;
        if (warmUp.isOverloadedBy(load, clock.instant())) {
            LOG.info("runner on port %s crashes under an overload of %s requests", port(), load);
            crash();
            return;
        }
        peakRequests = Math.max(peakRequests, load);
        if (running < settings.slots()) {
            begin(work);
            return;
        }
        if (queue.size() >= MAXIMUM_QUEUED_REQUESTS) {
            refuse(exchange);
            return;
        }
        queue.add(new QueuedRequest(exchange, work));
    }

    private static void refuse(HttpExchange exchange) {
        exchange.respond(503, Map.of("x-not-run", "yes", "retry-after", "1"), new byte[0]);
    }

    private void begin(RunnerWork work) {
        setRunning(running + 1);
        work.begin(new WorkSlot(this, generation));
    }

    boolean isCurrentGeneration(long number) {
        return generation == number;
    }

    void releaseSlot(boolean isCompleted) {
        setRunning(running - 1);
        if (isCompleted) {
            completed++;
        }
        while (running < settings.slots() && !queue.isEmpty()) {
            QueuedRequest next = queue.remove();
            if (next.exchange().isOpen()) {
                begin(next.work());
            }
        }
    }

    private void setRunning(int count) {
        busyTime.add(running);
        running = count;
    }

    /** Returns whether to drop this response, and decrements the number of responses still to drop. */
    public boolean consumeDroppedResponse() {
        if (faults.responsesToDrop() <= 0) {
            return false;
        }
        faults = faults.withDroppedResponseConsumed();
        return true;
    }

    private void handleControl(HttpExchange exchange) {
        if (exchange.method().equals("PUT")) {
            applyControl(exchange, Json.read(exchange.body()));
        }
        Map<String, Object> document = new LinkedHashMap<>();
        document.put("late_answer_millis", faults.responseDelayMillis());
        document.put("lose_answers", faults.responsesToDrop());
        document.put("refuse_requests", faults.requestsToRefuse());
        document.put("overloads", overloadCrashes);
        busyTime.add(running);
        document.put("busy_slot_millis", busyTime.busySlotMillis());
        document.put("running", running);
        document.put("waiting", queue.size());
        document.put("most_running", peakRequests);
        document.put("completed", completed);
        document.put("bearable", warmUp.capacityRequests(clock.instant()));
        document.put("connections", server.openConnections());
        exchange.respondJson(200, document);
    }

    private void applyControl(HttpExchange exchange, JsonNode document) {
        faults = faults.with(document);
        if (document.path("silence_connections").asBoolean(false)) {
            server.silenceConnectionsExcept(exchange);
        }
        if (document.path("cold_restart").asBoolean(false)) {
            schedule(this::restartCold, 0);
        }
        if (document.path("fall_over").asBoolean(false)) {
            schedule(this::crash, 0);
        }
    }

    private void crash() {
        overloadCrashes++;
        abortWork();
        server.refuseConnections(true);
        schedule(this::startCold, settings.restartPause().toMillis());
    }

    private void restartCold() {
        abortWork();
        startCold();
    }

    private void abortWork() {
        generation++;
        setRunning(0);
        completed = 0;
        queue.clear();
        server.resetConnections();
    }

    private void startCold() {
        warmUp = new WarmUp(settings, clock.instant());
        server.refuseConnections(false);
    }

    private void updateReportedLoad() {
        reportedLoad = currentLoad();
    }

    private LoadDocument currentLoad() {
        return new LoadDocument(warmUp.startedAt().toEpochMilli(), running + queue.size(), completed);
    }

    @Override
    public void close() {
        loadUpdates.cancel(false);
        server.close();
    }

    /** A request that waits for a free slot. */
    private record QueuedRequest(HttpExchange exchange, RunnerWork work) {}
}
