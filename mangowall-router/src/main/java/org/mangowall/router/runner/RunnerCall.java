package org.mangowall.router.runner;

import java.net.InetSocketAddress;
import java.time.Clock;
import java.util.List;
import java.util.concurrent.CancellationException;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;

import io.netty.channel.Channel;
import io.netty.handler.codec.http.HttpHeaders;
import org.asynchttpclient.AsyncHandler;
import org.asynchttpclient.HttpResponseBodyPart;
import org.asynchttpclient.HttpResponseStatus;
import org.asynchttpclient.netty.request.NettyRequest;
import org.mangowall.http.InvalidResponseException;
import org.mangowall.inventory.Runner;
import org.mangowall.inventory.Service;
import org.mangowall.kernel.log.ComponentLog;
import org.mangowall.policy.RunnerOutcome;

/**
 * One attempt to run a request at a runner.
 *
 * <p>The stage changes from {@code CONNECTING} to {@code SENT} right before the first byte is written. An attempt that
 * ends in {@code CONNECTING} has certainly not run, and can no longer be sent.
 */
public final class RunnerCall implements AsyncHandler<Void> {

    private static final ComponentLog LOG = ComponentLog.of("runner");
    private static final int STATUS_SERVICE_UNAVAILABLE = 503;
    private static final String NOT_RUN_HEADER = "x-not-run";
    private static final long COST_REPORT_PERIOD_MILLIS = 250;
    /** A longer body of a refusal is not read on: a runner in trouble may send bytes without end. */
    private static final int MAX_REFUSAL_BYTES = 1 << 16;

    private enum Stage {
        CONNECTING,
        SENT,
        ENDED
    }

    private final Runner runner;
    private final Service service;
    private final RunnerProtocol protocol;
    private final String identifier;
    private final AnswerSink sink;
    private final RunnerCallListener listener;
    private final Clock clock;
    private final long connectTimeoutMillis;
    private final AtomicReference<Stage> stage = new AtomicReference<>(Stage.CONNECTING);
    private volatile RunnerOutcome abortOutcome;
    private volatile Future<?> future;
    private volatile Channel channel;
    private volatile boolean paused;
    private volatile boolean answerBegan;
    private volatile long lastProgressMillis;
    private CostMeter meter;
    private boolean refused;
    private int status;
    private long bodyBytes;
    private double reportedCost;
    private long nextCostReportMillis;

    RunnerCall(
            Runner runner,
            Service service,
            RunnerProtocol protocol,
            String identifier,
            AnswerSink sink,
            RunnerCallListener listener,
            Clock clock,
            long connectTimeoutMillis) {
        this.runner = runner;
        this.service = service;
        this.protocol = protocol;
        this.identifier = identifier;
        this.sink = sink;
        this.listener = listener;
        this.clock = clock;
        this.connectTimeoutMillis = connectTimeoutMillis;
        this.lastProgressMillis = clock.millis();
    }

    void setFuture(Future<?> newFuture) {
        future = newFuture;
        if (abortOutcome != null) {
            cancelFuture(newFuture);
        }
    }

    /** Cancels the attempt and closes its connection. */
    public void cancel() {
        abort(RunnerOutcome.CANCELLED);
    }

    /** Pauses or resumes reading the answer from the connection. */
    public void setPaused(boolean pause) {
        paused = pause;
        runOnEventLoop(connection -> {
            lastProgressMillis = clock.millis();
            ReadPauseHandler.setPaused(connection, paused);
        });
    }

    private void runOnEventLoop(Consumer<Channel> action) {
        Channel connection = channel;
        if (connection == null) {
            return;
        }
        if (!connection.eventLoop().inEventLoop()) {
            connection.eventLoop().execute(() -> runOnEventLoop(action));
            return;
        }
        if (stage.get() == Stage.SENT) {
            action.accept(connection);
        }
    }

    /** Resumes reading if the sink accepts more. */
    public void resumeIfReady() {
        if (paused && sink.isReady()) {
            setPaused(false);
        }
    }

    /** Aborts the attempt if it has made no progress within its timeout. */
    void checkProgress(long nowMillis) {
        long idleMillis = nowMillis - lastProgressMillis;
        if (!paused && idleMillis > progressTimeoutMillis()) {
            abort(RunnerOutcome.TIMED_OUT);
        }
    }

    private long progressTimeoutMillis() {
        if (stage.get() == Stage.CONNECTING) {
            return 2 * connectTimeoutMillis;
        }
        return answerBegan
                ? service.progressTimeout().toMillis()
                : service.firstProgressTimeout().toMillis();
    }

    private void abort(RunnerOutcome outcome) {
        if (abortOutcome == null) {
            abortOutcome = outcome;
        }
        if (stage.compareAndSet(Stage.CONNECTING, Stage.ENDED)) {
            boolean cancelled = outcome == RunnerOutcome.CANCELLED;
            listener.ended(cancelled ? RunnerOutcome.CANCELLED : RunnerOutcome.NOT_SENT, 0);
        }
        Future<?> pending = future;
        if (pending != null) {
            cancelFuture(pending);
        }
    }

    /** Cancels on the event loop of the connection, so that a connection already back in the pool stays open. */
    private void cancelFuture(Future<?> pending) {
        if (channel == null) {
            pending.cancel(true);
            return;
        }
        runOnEventLoop(connection -> pending.cancel(true));
    }

    @Override
    public void onTcpConnectSuccess(InetSocketAddress remoteAddress, Channel connection) {
        channel = connection;
    }

    @Override
    public void onConnectionPooled(Channel connection) {
        channel = connection;
    }

    @Override
    public void onRequestSend(NettyRequest request) {
        if (!stage.compareAndSet(Stage.CONNECTING, Stage.SENT)) {
            throw new CancellationException("the attempt ended before it was sent");
        }
        lastProgressMillis = clock.millis();
    }

    @Override
    public State onStatusReceived(HttpResponseStatus responseStatus) {
        status = responseStatus.getStatusCode();
        return State.CONTINUE;
    }

    @Override
    public State onHeadersReceived(HttpHeaders headers) {
        lastProgressMillis = clock.millis();
        String answered = headers.get(IdentifiedAnswerKeepAliveStrategy.REQUEST_HEADER, identifier);
        if (!answered.equals(identifier)) {
            LOG.warn("runner %s answered request %s with that of %s", runner.name(), identifier, answered);
            return State.ABORT;
        }
        answerBegan = true;
        refused = isRefusal(status, headers);
        if (refused) {
            return State.CONTINUE;
        }
        meter = protocol.meter(service, AnswerHead.of(status, headers));
        listener.answerBegan();
        sink.head(runner.name(), status, HeaderRules.endToEnd(headers, List.of()));
        return State.CONTINUE;
    }

    /** Whether a runner says with its answer that it did not run the request. */
    static boolean isRefusal(int status, HttpHeaders headers) {
        return status == STATUS_SERVICE_UNAVAILABLE && "yes".equalsIgnoreCase(headers.get(NOT_RUN_HEADER));
    }

    @Override
    public State onBodyPartReceived(HttpResponseBodyPart part) {
        lastProgressMillis = clock.millis();
        byte[] bytes = part.getBodyPartBytes();
        bodyBytes += bytes.length;
        if (refused) {
            return bodyBytes > MAX_REFUSAL_BYTES ? State.ABORT : State.CONTINUE;
        }
        if (bytes.length == 0) {
            return State.CONTINUE;
        }
        meter.accept(bytes);
        sink.body(bytes);
        reportCost();
        if (!sink.isReady()) {
            setPaused(true);
            // The sink may have become ready before the pause, and then did not resume the call.
            resumeIfReady();
        }
        return State.CONTINUE;
    }

    private void reportCost() {
        double cost = meter.cost();
        if (cost > reportedCost && lastProgressMillis >= nextCostReportMillis) {
            reportedCost = cost;
            nextCostReportMillis = lastProgressMillis + COST_REPORT_PERIOD_MILLIS;
            listener.costIncreased(cost);
        }
    }

    @Override
    public Void onCompleted() {
        if (refused) {
            finish(RunnerOutcome.REFUSED);
        } else if (meter == null || !meter.isComplete()) {
            finish(RunnerOutcome.BROKEN);
        } else if (stage.get() == Stage.SENT) {
            sink.end(bodyBytes);
            finish(RunnerOutcome.COMPLETED);
        }
        return null;
    }

    @Override
    public void onThrowable(Throwable failure) {
        if (stage.compareAndSet(Stage.CONNECTING, Stage.ENDED)) {
            listener.ended(RunnerOutcome.NOT_SENT, 0);
            return;
        }
        if (failure instanceof InvalidResponseException) {
            LOG.warn(
                    "runner %s sent an invalid response to request %s: %s",
                    runner.name(), identifier, failure.getMessage());
        }
        finish(abortOutcome != null ? abortOutcome : RunnerOutcome.BROKEN);
    }

    private void finish(RunnerOutcome outcome) {
        if (stage.compareAndSet(Stage.SENT, Stage.ENDED)) {
            resumeReading();
            listener.ended(outcome, meter == null ? 0 : meter.cost());
        }
    }

    /** Resumes reading, since a connection that returns to the pool while paused would never be read again. */
    private void resumeReading() {
        Channel connection = channel;
        if (connection != null) {
            ReadPauseHandler.setPaused(connection, false);
        }
    }
}
