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
import org.mangowall.kernel.log.PartLog;
import org.mangowall.standin.http.CallHandler;
import org.mangowall.standin.http.HttpCall;
import org.mangowall.standin.http.Json;
import org.mangowall.standin.http.StandInServer;

/**
 * The server, slots, warm-up and failures of one runner; used on its event loop only.
 *
 * <p>A cold runner falls over when it gets clearly more than it bears: it breaks all connections, refuses new ones for
 * a while and starts again, cold and with another start time.
 */
public final class RunnerProcess implements AutoCloseable {

    private static final PartLog LOG = PartLog.of("standin");
    private static final int LONGEST_QUEUE_REQUESTS = 4096;

    private final RunnerStandInSettings settings;
    private final Clock clock;
    private final EventLoop eventLoop;
    private final SideEffectLedger ledger;
    private final CallHandler serviceHandler;
    private final Queue<Waiting> waiting = new ArrayDeque<>();
    private final StandInServer server;
    private final ScheduledFuture<?> loadRefresh;
    private WarmUp warmUp;
    private RunnerSwitches switches = RunnerSwitches.allOff();
    private LoadDocument shownLoad;
    private long run = 1;
    private int running;
    private long completed;
    private long overloads;
    private int mostRunning;
    private final BusyTime busyTime = new BusyTime();

    /** Starts to listen; {@code serviceHandler} answers all calls but those for load, control and ledger. */
    public RunnerProcess(
            RunnerStandInSettings settings,
            EventLoop eventLoop,
            Clock clock,
            SideEffectLedger ledger,
            CallHandler serviceHandler) {
        this.settings = settings;
        this.clock = clock;
        this.eventLoop = eventLoop;
        this.ledger = ledger;
        this.serviceHandler = serviceHandler;
        this.warmUp = new WarmUp(settings, clock.instant());
        this.shownLoad = presentLoad();
        this.server =
                StandInServer.start(eventLoop, new InetSocketAddress(settings.host(), settings.port()), this::handle);
        long lagMillis = Math.max(1, settings.loadLag().toMillis());
        this.loadRefresh =
                eventLoop.scheduleAtFixedRate(this::refreshLoad, lagMillis, lagMillis, TimeUnit.MILLISECONDS);
    }

    /** The port on which it listens. */
    public int port() {
        return server.port();
    }

    /** Runs work once after a delay. */
    public void schedule(Runnable work, long delayMillis) {
        eventLoop.schedule(work, delayMillis, TimeUnit.MILLISECONDS);
    }

    /** By how long answers come late now. */
    public long lateAnswerMillis() {
        return switches.lateAnswerMillis();
    }

    private void handle(HttpCall call) {
        switch (call.path()) {
            case "/load" -> call.answerJson(200, shownLoad);
            case "/control" -> handleControl(call);
            case "/ledger" -> call.answerJson(200, ledger.toDocument());
            default -> serviceHandler.handle(call);
        }
    }

    /** Takes a request: begins its work, lets it wait for a slot, or falls over under it. */
    public void admit(HttpCall call, RunnerWork work) {
        if (switches.refuseRequests() > 0) {
            switches = switches.withOneRefusalLess();
            refuse(call);
            return;
        }
        int load = running + waiting.size() + 1;
        if (warmUp.fallsOverUnder(load, clock.instant())) {
            LOG.info("runner at port %s falls over under %s requests", port(), load);
            fallOver();
            return;
        }
        mostRunning = Math.max(mostRunning, load);
        if (running < settings.slots()) {
            begin(work);
            return;
        }
        if (waiting.size() >= LONGEST_QUEUE_REQUESTS) {
            refuse(call);
            return;
        }
        waiting.add(new Waiting(call, work));
    }

    private static void refuse(HttpCall call) {
        call.answer(503, Map.of("x-not-run", "yes", "retry-after", "1"), new byte[0]);
    }

    private void begin(RunnerWork work) {
        setRunning(running + 1);
        work.begin(new WorkSlot(this, run));
    }

    boolean isRun(long number) {
        return run == number;
    }

    void releaseSlot(boolean didComplete) {
        setRunning(running - 1);
        if (didComplete) {
            completed++;
        }
        while (running < settings.slots() && !waiting.isEmpty()) {
            Waiting next = waiting.remove();
            if (next.call().isOpen()) {
                begin(next.work());
            }
        }
    }

    private void setRunning(int count) {
        busyTime.add(running);
        running = count;
    }

    /** Whether this answer is to be lost; counts it off. */
    public boolean takeLostAnswer() {
        if (switches.loseAnswers() <= 0) {
            return false;
        }
        switches = switches.withOneLostAnswerLess();
        return true;
    }

    private void handleControl(HttpCall call) {
        if (call.method().equals("PUT")) {
            applyControl(call, Json.read(call.body()));
        }
        Map<String, Object> document = new LinkedHashMap<>();
        document.put("late_answer_millis", switches.lateAnswerMillis());
        document.put("lose_answers", switches.loseAnswers());
        document.put("refuse_requests", switches.refuseRequests());
        document.put("overloads", overloads);
        busyTime.add(running);
        document.put("busy_slot_millis", busyTime.slotMillis());
        document.put("running", running);
        document.put("waiting", waiting.size());
        document.put("most_running", mostRunning);
        document.put("completed", completed);
        document.put("bearable", warmUp.bearableRequests(clock.instant()));
        document.put("connections", server.openConnections());
        call.answerJson(200, document);
    }

    private void applyControl(HttpCall call, JsonNode document) {
        switches = switches.with(document);
        if (document.path("silence_connections").asBoolean(false)) {
            server.silenceConnectionsExcept(call);
        }
        if (document.path("cold_restart").asBoolean(false)) {
            schedule(this::restartCold, 0);
        }
        if (document.path("fall_over").asBoolean(false)) {
            schedule(this::fallOver, 0);
        }
    }

    private void fallOver() {
        overloads++;
        dropWork();
        server.refuseConnections(true);
        schedule(this::startAgain, settings.restartPause().toMillis());
    }

    private void restartCold() {
        dropWork();
        startAgain();
    }

    private void dropWork() {
        run++;
        setRunning(0);
        completed = 0;
        waiting.clear();
        server.resetConnections();
    }

    private void startAgain() {
        warmUp = new WarmUp(settings, clock.instant());
        server.refuseConnections(false);
    }

    private void refreshLoad() {
        shownLoad = presentLoad();
    }

    private LoadDocument presentLoad() {
        return new LoadDocument(warmUp.startedAt().toEpochMilli(), running + waiting.size(), completed);
    }

    @Override
    public void close() {
        loadRefresh.cancel(false);
        server.close();
    }

    /** A request without a slot. */
    private record Waiting(HttpCall call, RunnerWork work) {}
}
