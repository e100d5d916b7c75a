package org.mangowall.router.runner;

import java.net.InetSocketAddress;
import java.time.Clock;
import java.util.List;
import java.util.concurrent.CancellationException;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;

import io.netty.channel.Channel;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import org.asynchttpclient.AsyncHandler;
import org.asynchttpclient.HttpResponseBodyPart;
import org.asynchttpclient.HttpResponseStatus;
import org.asynchttpclient.netty.request.NettyRequest;
import org.mangowall.inventory.Runner;
import org.mangowall.inventory.Service;
import org.mangowall.policy.RunnerOutcome;

/**
 * One try of a request at a runner.
 *
 * <p>The step from {@code CONNECTING} to {@code SENT} is taken right before the first byte is written; a try that ends
 * before this step is certain not to have run, and then the step can't be taken any more.
 */
public final class RunnerCall implements AsyncHandler<Void> {

    private static final int STATUS_SERVICE_UNAVAILABLE = 503;
    private static final String NOT_RUN_HEADER = "x-not-run";
    private static final long COST_REPORT_MILLIS = 250;

    private enum Stage {
        CONNECTING,
        SENT,
        ENDED
    }

    private final Runner runner;
    private final Service service;
    private final RunnerProtocol protocol;
    private final AnswerSink sink;
    private final RunnerCallListener listener;
    private final Clock clock;
    private final long connectTimeoutMillis;
    private final AtomicReference<Stage> stage = new AtomicReference<>(Stage.CONNECTING);
    private volatile RunnerOutcome abortOutcome;
    private volatile Future<?> future;
    private volatile Channel channel;
    private volatile boolean held;
    private volatile boolean answering;
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
            AnswerSink sink,
            RunnerCallListener listener,
            Clock clock,
            long connectTimeoutMillis) {
        this.runner = runner;
        this.service = service;
        this.protocol = protocol;
        this.sink = sink;
        this.listener = listener;
        this.clock = clock;
        this.connectTimeoutMillis = connectTimeoutMillis;
        this.lastProgressMillis = clock.millis();
    }

    void started(Future<?> started) {
        future = started;
        if (abortOutcome != null) {
            stop(started);
        }
    }

    /** The router does not want the answer any more: closes the connection. */
    public void cancel() {
        abort(RunnerOutcome.CANCELLED);
    }

    /** Holds the answer back by not reading it, or goes on. */
    public void hold(boolean hold) {
        held = hold;
        onChannel(open -> {
            lastProgressMillis = clock.millis();
            ReadGate.set(open, held);
        });
    }

    private void onChannel(Consumer<Channel> step) {
        Channel open = channel;
        if (open == null) {
            return;
        }
        if (!open.eventLoop().inEventLoop()) {
            open.eventLoop().execute(() -> onChannel(step));
            return;
        }
        if (stage.get() == Stage.SENT) {
            step.accept(open);
        }
    }

    /** Goes on when the answer can be passed on again. */
    public void resumeIfReady() {
        if (held && sink.isReady()) {
            hold(false);
        }
    }

    /** Ends the try when it has made no progress for too long. */
    void checkProgress(long nowMillis) {
        long silentMillis = nowMillis - lastProgressMillis;
        if (!held && silentMillis > allowedSilenceMillis()) {
            abort(RunnerOutcome.TIMED_OUT);
        }
    }

    private long allowedSilenceMillis() {
        if (stage.get() == Stage.CONNECTING) {
            return 2 * connectTimeoutMillis;
        }
        return answering
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
        Future<?> started = future;
        if (started != null) {
            stop(started);
        }
    }

    /** Cancels on the connection's own thread, so that a connection that went back to the pool is left alone. */
    private void stop(Future<?> started) {
        if (channel == null) {
            started.cancel(true);
            return;
        }
        onChannel(open -> started.cancel(true));
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
            throw new CancellationException("the try ended before it was sent");
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
        answering = true;
        refused = status == STATUS_SERVICE_UNAVAILABLE && "yes".equalsIgnoreCase(headers.get(NOT_RUN_HEADER));
        if (refused) {
            return State.CONTINUE;
        }
        String contentType = headers.get(HttpHeaderNames.CONTENT_TYPE, "");
        meter = protocol.meter(service, status, contentType);
        listener.began();
        sink.head(runner.name(), status, HeaderRules.endToEnd(headers, List.of()));
        return State.CONTINUE;
    }

    @Override
    public State onBodyPartReceived(HttpResponseBodyPart part) {
        lastProgressMillis = clock.millis();
        byte[] bytes = part.getBodyPartBytes();
        if (refused || bytes.length == 0) {
            return State.CONTINUE;
        }
        bodyBytes += bytes.length;
        meter.accept(bytes);
        sink.body(bytes);
        reportCost();
        if (!sink.isReady()) {
            hold(true);
            resumeIfReady();
        }
        return State.CONTINUE;
    }

    private void reportCost() {
        double cost = meter.cost();
        if (cost > reportedCost && lastProgressMillis >= nextCostReportMillis) {
            reportedCost = cost;
            nextCostReportMillis = lastProgressMillis + COST_REPORT_MILLIS;
            listener.progressed(cost);
        }
    }

    @Override
    public Void onCompleted() {
        if (refused) {
            finish(RunnerOutcome.REFUSED);
        } else if (meter == null || !meter.isWhole()) {
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
        finish(abortOutcome != null ? abortOutcome : RunnerOutcome.BROKEN);
    }

    private void finish(RunnerOutcome outcome) {
        if (stage.compareAndSet(Stage.SENT, Stage.ENDED)) {
            restoreReading();
            listener.ended(outcome, meter == null ? 0 : meter.cost());
        }
    }

    /** A connection that goes back to the pool while the answer was held would never be read again. */
    private void restoreReading() {
        Channel open = channel;
        if (open != null) {
            ReadGate.set(open, false);
        }
    }
}
