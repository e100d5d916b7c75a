package org.mangowall.edge.traffic;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.util.concurrent.ScheduledFuture;
import org.mangowall.edge.decision.LoadEvent;
import org.mangowall.edge.decision.PlacementDecision;
import org.mangowall.edge.decision.StreamOrigin;
import org.mangowall.edge.model.CallerRequest;
import org.mangowall.edge.model.PromptDescription;
import org.mangowall.edge.model.PromptPart;
import org.mangowall.edge.model.Route;
import org.mangowall.edge.model.RunnerResponse;
import org.mangowall.edge.wire.Dispatch;
import org.mangowall.kernel.failure.FailureCode;

/**
 * One caller request, from the arrival of its last byte to the last byte of its response.
 *
 * <p>Its time counts from the arrival of its first byte.
 */
final class Exchange {

    static final double NANOS_PER_MILLI = 1e6;

    /** Maximum number of times a request that no runner has run is offered to runners. */
    private static final int MAX_OFFERS = 4;
    /** Minimum time left to start another attempt: no runner responds faster. */
    private static final double MIN_REMAINING_MILLIS = 20;
    /** Retry-After for a stream whose origin this host doesn't know: reports of other hosts arrive by then. */
    private static final double UNKNOWN_ORIGIN_RETRY_AFTER_MILLIS = 500;
    /** Retry-After once all runners tried rejected the request: one of them may have capacity again by then. */
    private static final double REJECTED_RETRY_AFTER_MILLIS = 200;

    private final EdgeContext context;
    private final RunnerConnections runners;
    private final CallerConnection caller;
    private final HttpRequest head;
    private final RequestBody body;
    private final RequestTiming timing;
    private final ExchangeLog log;
    private final MovedRun movedRun;
    private final RequestArrival arrival;
    private final RequestPlacing placing;
    private CallerRequest request;
    private Route route;
    private String service = "";
    private Optional<String> workspace = Optional.empty();
    private StreamPosition stream;
    private ResponseWriter writer;
    private RunnerAttempt attempt;
    private RunnerAttempt lastSent;
    private ScheduledFuture<?> deadline;
    private OptionalLong fingerprint = OptionalLong.empty();
    private int offers;
    private int runs;
    private boolean isFinished;

    /**
     * Creates an exchange that isn't started.
     *
     * @param arrivedAt when the first byte of the request arrived, as far as this host knows
     */
    Exchange(
            EdgeContext context,
            RunnerConnections runners,
            CallerConnection caller,
            HttpRequest head,
            RequestBody body,
            long arrivedAt) {
        this.context = context;
        this.runners = runners;
        this.caller = caller;
        this.head = head;
        this.body = body;
        this.timing = new RequestTiming(context::now, arrivedAt);
        this.log = new ExchangeLog(context);
        this.movedRun = new MovedRun(context, this, runners);
        this.arrival = new RequestArrival(context, this, log);
        this.placing = new RequestPlacing(context, this, runners);
    }

    /** The request has been read: it waits for its turn, or is refused at once if it can't be served in time. */
    void arrived() {
        arrival.arrived();
    }

    /** Finds the route and the workspace, and the time that is left; returns why the request can't be served. */
    Optional<FailureCode> resolve() {
        RequestResolver.Resolution resolution = new RequestResolver(context).resolve(head);
        request = resolution.request().orElse(null);
        route = resolution.route().orElse(null);
        workspace = resolution.workspace();
        if (resolution.failure().isEmpty()) {
            timing.setTimeoutMillis(resolution.timeoutMillis());
        }
        return resolution.failure();
    }

    /** Refuses the request before it was placed. */
    void refuse(FailureCode code, double retryAfterMillis) {
        writer = createWriter();
        reject(code, retryAfterMillis);
    }

    private ResponseWriter createWriter() {
        boolean isKeepAlive = HttpUtil.isKeepAlive(head) && !context.lifecycle().isLeaving();
        return new ResponseWriter(caller.channel(), head.method(), head.protocolVersion(), isKeepAlive);
    }

    /** Places the request on a runner; its turn has come. */
    void start() {
        writer = createWriter();
        if (timing.remainingMillis() < MIN_REMAINING_MILLIS) {
            reject(FailureCode.QUEUE_TIMEOUT, 0);
            return;
        }
        stream = new StreamPosition(request, route.kind());
        if (route.kind().isStream() && !stream.findOrigin(context.fleet(), route, context.now())) {
            log.originUnknown(this);
            reject(FailureCode.STREAM_VERSION_UNAVAILABLE, UNKNOWN_ORIGIN_RETRY_AFTER_MILLIS);
            return;
        }
        service = stream.origin().map(StreamOrigin::service).orElseGet(() -> route.serviceFor(context.nextRandom()));
        context.retryBudget(service).recordRequest(context.now());
        deadline = context.loop().schedule(this::timedOut, (long) timing.remainingMillis(), TimeUnit.MILLISECONDS);
        place();
    }

    private void place() {
        offers += 1;
        switch (placing.decide()) {
            case PlacementDecision.Reject rejection -> placementRejected(rejection);
            case PlacementDecision.Send send -> send(send);
        }
    }

    private void placementRejected(PlacementDecision.Reject rejection) {
        log.placementRejected(this, rejection);
        if (runs > 0) {
            giveUp(FailureCode.RUNNER_CONNECTION_LOST);
            return;
        }
        if (!rejection.isQuarantine()) {
            arrival.publishTurnedAway();
        }
        reject(rejection.code(), rejection.retryAfterMillis());
    }

    private void send(PlacementDecision.Send decision) {
        long attemptNumber = context.nextAttemptNumber();
        attempt = new RunnerAttempt(context, this, decision, attemptNumber, Optional.empty());
        context.publish(new LoadEvent.Sent(
                attemptNumber,
                decision.runner().identifier(),
                workspace,
                promptParts(),
                decision.prefillTokens(),
                prompt().map(PromptDescription::memoryTokens).orElse(0),
                costTokens(),
                stream.resumableOrigin()));
        context.metrics().countSend(service, runs > 0);
        log.placed(this, decision);
        runners.acquire(decision.runner(), attempt::connected);
    }

    /** Returns the request head to send to the runner of an attempt, and counts the run. */
    HttpRequest requestHeadFor(RunnerAttempt newAttempt) {
        // The rest of a run that was moved counts as the same run.
        runs += newAttempt.copy().isPresent() ? 0 : 1;
        lastSent = newAttempt;
        Dispatch dispatch = new Dispatch(
                request,
                newAttempt.runner(),
                workspace,
                Duration.ofNanos((long) (timing.remainingMillis() * NANOS_PER_MILLI)),
                newAttempt.decision().cacheHolder().map(holder -> holder.address()),
                newAttempt.copy(),
                stream.lastEvent());
        return context.messages().requestForRunner(head, dispatch);
    }

    ByteBuf body() {
        return body.bytes();
    }

    Route route() {
        return route;
    }

    String identifier() {
        return request == null ? "" : request.identifier();
    }

    String routeName() {
        return route == null ? "none" : route.name();
    }

    Optional<String> workspace() {
        return workspace;
    }

    /** The estimated engine time of the request, in tokens; 0 for a plain request. */
    long costTokens() {
        return prompt().map(PromptDescription::costTokens).orElse(0L);
    }

    /** The parts of the prompt; empty for a plain request. */
    List<PromptPart> promptParts() {
        return prompt().map(PromptDescription::parts).orElse(List.of());
    }

    String service() {
        return service;
    }

    /** Whether part of the response has reached the caller. */
    boolean hasResponseStarted() {
        return writer.hasStarted();
    }

    /** The fingerprint of the request, computed when it is first needed; valid until the request ends. */
    long fingerprint() {
        if (fingerprint.isEmpty()) {
            fingerprint = OptionalLong.of(
                    RequestFingerprint.of(workspace.orElse(""), request.hostName(), head, body.bytes()));
        }
        return fingerprint.getAsLong();
    }

    /** The number of times the request was offered to a runner. */
    int offers() {
        return offers;
    }

    /** The number of runners that have run the request or may have. */
    int runs() {
        return runs;
    }

    /** The progress of the response to the last attempt that was sent. */
    Optional<ResponseProgress> lastResponse() {
        return Optional.ofNullable(lastSent).flatMap(RunnerAttempt::responseProgress);
    }

    StreamPosition stream() {
        return stream;
    }

    RequestTiming timing() {
        return timing;
    }

    /** The moves of the run to other runners. */
    MovedRun movedRun() {
        return movedRun;
    }

    /** An attempt ended because its run goes on in another one. */
    void replaceAttempt(RunnerAttempt next) {
        attempt = next;
    }

    boolean isFinished() {
        return isFinished;
    }

    /** The description of the prompt; empty for a plain request. */
    Optional<PromptDescription> prompt() {
        return request == null ? Optional.empty() : request.prompt();
    }

    /** No connection was available, so the request has not reached the runner. */
    void notReached(RunnerAttempt tried, String reason) {
        attempt = null;
        log.attemptFailed(this, "not-reached", tried, reason);
        if (tried.copy().isPresent()) {
            movedRun.restNotRun(tried, tried.copy().get());
            return;
        }
        offerElsewhere(tried, true);
    }

    /** The runner reports that it has not run the request. */
    void notRun(RunnerAttempt tried, RunnerResponse response) {
        attempt = null;
        if (tried.copy().isPresent()) {
            log.attemptFailed(this, "not-run", tried, "status " + response.status());
            movedRun.restNotRun(tried, tried.copy().get());
            return;
        }
        runs -= 1;
        if (response.isMisdirected()) {
            context.markUnreachable(tried.runner().identifier());
        } else {
            long requestedPause = response.retryAfter().map(Duration::toNanos).orElse(0L);
            context.fleet().recordRejection(tried.runner().identifier(), requestedPause, context.now());
        }
        context.metrics().countRunnerFailure(service, "not-run");
        log.attemptFailed(this, "not-run", tried, "status " + response.status());
        offerElsewhere(tried, mayRepeat());
    }

    private void offerElsewhere(RunnerAttempt tried, boolean mayOffer) {
        if (isFinished) {
            return;
        }
        placing.exclude(tried.runner());
        if (mayOffer && offers < MAX_OFFERS && timing.remainingMillis() > MIN_REMAINING_MILLIS) {
            place();
            return;
        }
        if (runs > 0 || writer.hasStarted()) {
            giveUp(FailureCode.RUNNER_CONNECTION_LOST);
            return;
        }
        reject(FailureCode.RETRIES_EXHAUSTED, REJECTED_RETRY_AFTER_MILLIS);
    }

    ExchangeLog log() {
        return log;
    }

    /** The runner has sent nothing for longer than its stall timeout; its run ends only if another one takes over. */
    void attemptStalled(RunnerAttempt tried) {
        log.attemptFailed(this, "silent", tried, "no data received for " + Math.round(tried.elapsedMillis()) + " ms");
        if (!canContinue()) {
            return;
        }
        placing.exclude(tried.runner());
        switch (placing.decide()) {
            case PlacementDecision.Reject rejection -> log.notTakenOver(this, tried, rejection);
            case PlacementDecision.Send send -> {
                tried.cancel();
                offers += 1;
                send(send);
            }
        }
    }

    /** The attempt ended without a complete response, and the runner may have run it. */
    void failed(RunnerAttempt tried, String reason) {
        attempt = null;
        log.attemptFailed(this, "failed", tried, reason);
        if (canContinue()) {
            retry(tried);
            return;
        }
        giveUp(FailureCode.RUNNER_CONNECTION_LOST);
    }

    /** Whether another run may give the response, or its rest after the last event that was forwarded. */
    private boolean canContinue() {
        boolean hasResumePoint = !writer.hasStarted() || stream.hasForwardedIdentifier();
        return route.kind().isRepeatable() && hasResumePoint && canRetry();
    }

    private boolean canRetry() {
        return runs < route.maxRunners() && timing.remainingMillis() > MIN_REMAINING_MILLIS && mayRepeat();
    }

    /** Takes a request beyond the first one from the budget that all hosts share. */
    boolean mayRepeat() {
        return context.retryBudget(service).tryTake(context.fleet().hostCount(), context.now());
    }

    private void retry(RunnerAttempt tried) {
        placing.exclude(tried.runner());
        place();
    }

    /** Fails the request; closes the connection instead if part of a response was already sent. */
    private void giveUp(FailureCode code) {
        if (isFinished) {
            return;
        }
        if (writer.hasStarted()) {
            finish("cut");
            caller.abort();
            return;
        }
        reject(code, 0);
    }

    /** Forwards a part of a streamed response to the caller. */
    void forward(RunnerAttempt source, HttpResponse responseHead, ByteBuf bytes) {
        stream.forwardedFrom(source.runner()).ifPresent(origin -> context.publish(new LoadEvent.StreamBegan(origin)));
        if (!writer.hasStarted()) {
            context.metrics().observeFirstByte(route.name(), timing.elapsedMillis() / 1_000);
        }
        writer.writePart(responseHead, bytes);
        body.responseBegan(this, source);
        if (!caller.channel().isWritable()) {
            source.callerWritabilityChanged(false);
        }
    }

    /** The runner completed the streamed response. */
    void forwardEnd(RunnerAttempt source, HttpResponse responseHead) {
        attempt = null;
        writer.writeEnd(responseHead);
        finish("complete");
        caller.responseSent(writer.isKeepAlive());
    }

    /** A buffered response is complete. */
    void complete(RunnerAttempt source, HttpResponse response, ByteBuf responseBody) {
        attempt = null;
        boolean isServerError = response.status().code() >= 500;
        if (isServerError && canContinue()) {
            responseBody.release();
            log.attemptFailed(
                    this, "failed", source, "status " + response.status().code());
            retry(source);
            return;
        }
        if (writer.hasStarted()) {
            responseBody.release();
            giveUp(FailureCode.RUNNER_ANSWER_INVALID);
            return;
        }
        context.metrics().observeFirstByte(route.name(), timing.elapsedMillis() / 1_000);
        writer.writeComplete(response, responseBody);
        finish(String.valueOf(response.status().code()));
        caller.responseSent(writer.isKeepAlive());
    }

    void callerWritabilityChanged(boolean isWritable) {
        if (attempt != null) {
            attempt.callerWritabilityChanged(isWritable);
        }
    }

    private void timedOut() {
        if (isFinished) {
            return;
        }
        boolean mayHaveRun = runs > 0;
        cancelAttempt();
        giveUp(mayHaveRun ? FailureCode.RUNNER_TIMEOUT : FailureCode.QUEUE_TIMEOUT);
    }

    /** The grace period of the host is over. */
    void hostEnds() {
        if (isFinished) {
            return;
        }
        if (arrival.isStarted()) {
            timedOut();
        } else {
            refuse(FailureCode.ROUTER_LEAVING, RequestResolver.retryAfterMillis(FailureCode.ROUTER_LEAVING));
        }
    }

    /** The caller closed its connection before the response was complete. */
    void callerDisconnected() {
        if (isFinished) {
            return;
        }
        if (!arrival.isStarted()) {
            arrival.publishTurnedAway();
        }
        cancelAttempt();
        finish(FailureCode.CALLER_GONE.code());
    }

    private void cancelAttempt() {
        if (attempt != null) {
            RunnerAttempt cancelled = attempt;
            attempt = null;
            cancelled.cancel();
        }
    }

    private void reject(FailureCode code, double retryAfterMillis) {
        finish(code.code());
        writer.writeProblem(code, retryAfterMillis);
        caller.responseSent(writer.isKeepAlive());
    }

    private void finish(String outcome) {
        isFinished = true;
        if (deadline != null) {
            deadline.cancel(false);
        }
        body.release();
        context.metrics().countResponse(routeName(), outcome);
        log.ended(this, outcome);
    }
}
