package org.mangowall.edge.traffic;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.util.concurrent.ScheduledFuture;
import org.mangowall.edge.decision.LoadEvent;
import org.mangowall.edge.decision.PlacementDecision;
import org.mangowall.edge.decision.PlacementRequest;
import org.mangowall.edge.model.CallerRequest;
import org.mangowall.edge.model.PromptDescription;
import org.mangowall.edge.model.Route;
import org.mangowall.edge.model.RouteTable;
import org.mangowall.edge.model.RunnerResponse;
import org.mangowall.edge.wire.Dispatch;
import org.mangowall.kernel.failure.FailureCode;
import org.mangowall.kernel.failure.MangowallException;

/** One request of a caller, from its last byte to the last byte of its answer. */
final class Exchange {

    static final double NANOS_PER_MILLI = 1e6;

    /** How often a request that has not run is offered to other runners. */
    private static final int MOST_OFFERS = 4;
    /** With less time left, no runner can answer. */
    private static final double LEAST_LEFT_MILLIS = 20;
    /** When a host without a configuration may have one. */
    private static final double NOT_READY_RETRY_MILLIS = 500;
    /** When other hosts have taken over from one that leaves. */
    private static final double LEAVING_RETRY_MILLIS = 50;
    /** When a runner that turned a request away may have room again. */
    private static final double SHED_RETRY_MILLIS = 200;

    private final EdgeContext context;
    private final RunnerConnections runners;
    private final CallerConnection caller;
    private final HttpRequest head;
    private final ByteBuf body;
    private final long startedAt;
    private final ExchangeLog log;
    private final Set<String> excluded = new HashSet<>();
    private CallerRequest request;
    private Route route;
    private String service = "";
    private Optional<String> workspace = Optional.empty();
    private Optional<String> lastEvent = Optional.empty();
    private AnswerWriter writer;
    private RunnerAttempt attempt;
    private ScheduledFuture<?> deadline;
    private double patienceMillis;
    private int offers;
    private int runs;
    private boolean isOver;

    Exchange(EdgeContext context, RunnerConnections runners, CallerConnection caller, HttpRequest head, ByteBuf body) {
        this.context = context;
        this.runners = runners;
        this.caller = caller;
        this.head = head;
        this.body = body;
        this.startedAt = context.now();
        this.log = new ExchangeLog(context);
    }

    /** Finds the route and the workspace, and sends the request on its way. */
    void begin() {
        boolean isKept = HttpUtil.isKeepAlive(head) && !context.lifecycle().isLeaving();
        writer = new AnswerWriter(caller.channel(), head.method(), head.protocolVersion(), isKept);
        Optional<FailureCode> failure = admit();
        if (failure.isPresent()) {
            refuse(failure.get(), retryMillis(failure.get()));
            return;
        }
        double timeout = route.timeout().toMillis();
        patienceMillis = request.patience()
                .map(time -> Math.min(timeout, time.toNanos() / NANOS_PER_MILLI))
                .orElse(timeout);
        lastEvent = request.lastEvent();
        service = route.serviceFor(context.draw());
        context.retryBudget(service).recordRequest(context.now());
        deadline = context.loop().schedule(this::timedOut, (long) patienceMillis, TimeUnit.MILLISECONDS);
        place();
    }

    private static double retryMillis(FailureCode code) {
        return switch (code) {
            case NOT_READY -> NOT_READY_RETRY_MILLIS;
            case ROUTER_LEAVING -> LEAVING_RETRY_MILLIS;
            default -> 0;
        };
    }

    private Optional<FailureCode> admit() {
        Optional<RouteTable> table = context.table();
        try {
            request = context.messages().readRequest(head);
        } catch (MangowallException malformed) {
            return Optional.of(malformed.failureCode());
        }
        if (table.isEmpty()) {
            return Optional.of(FailureCode.NOT_READY);
        }
        if (context.lifecycle().isRefusing()) {
            return Optional.of(FailureCode.ROUTER_LEAVING);
        }
        Optional<Route> found = table.get().find(request.hostName(), request.path());
        if (found.isEmpty()) {
            return Optional.of(FailureCode.PATH_UNKNOWN);
        }
        route = found.get();
        if (route.isOpen() || !table.get().needsKeys()) {
            return Optional.empty();
        }
        workspace = request.key().flatMap(table.get()::workspaceOf);
        return workspace.isEmpty() ? Optional.of(FailureCode.NOT_AUTHENTICATED) : Optional.empty();
    }

    private void place() {
        offers += 1;
        PlacementRequest wanted = new PlacementRequest(
                route,
                service,
                workspace,
                request.prompt(),
                context.zone(),
                excluded,
                elapsedMillis(),
                leftMillis(),
                context.draw());
        switch (context.placement().decide(wanted, context.now())) {
            case PlacementDecision.Refuse refusal -> turnAway(refusal);
            case PlacementDecision.Send send -> send(send);
        }
    }

    private void turnAway(PlacementDecision.Refuse refusal) {
        log.turnedAway(this, refusal);
        if (runs > 0) {
            refuse(FailureCode.RUNNER_CONNECTION_LOST, 0);
            return;
        }
        refuse(refusal.code(), refusal.retryAfterMillis());
    }

    private void send(PlacementDecision.Send decision) {
        long number = context.nextNumber();
        attempt = new RunnerAttempt(context, this, decision, number);
        Optional<PromptDescription> prompt = request.prompt();
        context.tell(new LoadEvent.Sent(
                number,
                decision.runner().identifier(),
                workspace,
                prompt.map(PromptDescription::parts).orElse(List.of()),
                decision.unreadTokens(),
                prompt.map(known -> known.promptTokens() + known.outputTokens()).orElse(0),
                prompt.map(PromptDescription::costTokens).orElse(0L)));
        context.metrics().sent(service, runs > 0);
        log.placed(this, decision);
        runners.acquire(decision.runner(), attempt::connected);
    }

    /** Makes the head for the runner of an attempt. */
    HttpRequest headFor(RunnerAttempt sending) {
        runs += 1;
        Dispatch dispatch = new Dispatch(
                request,
                sending.runner(),
                workspace,
                Duration.ofNanos((long) (leftMillis() * NANOS_PER_MILLI)),
                sending.decision().cacheHolder().map(holder -> holder.address()),
                lastEvent);
        return context.messages().requestForRunner(head, dispatch);
    }

    ByteBuf body() {
        return body;
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

    /** How often the request was offered to runners. */
    int offers() {
        return offers;
    }

    /** On how many runners the request has run, or may have. */
    int runs() {
        return runs;
    }

    void noteEvent(String identifier) {
        lastEvent = Optional.of(identifier);
    }

    double elapsedMillis() {
        return (context.now() - startedAt) / NANOS_PER_MILLI;
    }

    private double leftMillis() {
        return Math.max(1, patienceMillis - elapsedMillis());
    }

    /** No connection could be had, so the request has not reached the runner. */
    void notReached(RunnerAttempt tried, String reason) {
        attempt = null;
        log.trouble(this, "not-reached", tried, reason);
        offerElsewhere(tried, true);
    }

    /** The runner says that it has not run the request. */
    void notRun(RunnerAttempt tried, RunnerResponse answer) {
        attempt = null;
        runs -= 1;
        if (answer.isOtherRunner()) {
            context.unreachable(tried.runner().identifier());
        } else {
            context.fleet().shed(tried.runner().identifier(), context.now());
        }
        context.metrics().trouble(service, "not-run");
        log.trouble(this, "not-run", tried, "status " + answer.status());
        offerElsewhere(
                tried, context.retryBudget(service).tryTake(context.fleet().hostCount(), context.now()));
    }

    private void offerElsewhere(RunnerAttempt tried, boolean mayOffer) {
        if (isOver) {
            return;
        }
        excluded.add(tried.runner().identifier());
        if (mayOffer && offers < MOST_OFFERS && leftMillis() > LEAST_LEFT_MILLIS) {
            place();
            return;
        }
        if (runs > 0 || writer.hasBegun()) {
            giveUp(FailureCode.RUNNER_CONNECTION_LOST);
            return;
        }
        refuse(FailureCode.RETRIES_EXHAUSTED, SHED_RETRY_MILLIS);
    }

    /** The runner shows no sign of progress. */
    void silent(RunnerAttempt tried) {
        log.trouble(this, "silent", tried, "nothing came for " + Math.round(tried.runMillis()) + " ms");
        if (route.kind().isRepeatable() && mayRunAgain()) {
            tried.cancel();
            attempt = null;
            runAgain(tried);
        }
    }

    /** The attempt ended without a complete answer, and the runner may have run it. */
    void failed(RunnerAttempt tried, String reason) {
        attempt = null;
        log.trouble(this, "failed", tried, reason);
        if (route.kind().isRepeatable() && mayRunAgain()) {
            runAgain(tried);
            return;
        }
        giveUp(FailureCode.RUNNER_CONNECTION_LOST);
    }

    private boolean mayRunAgain() {
        return runs < route.mostRunners()
                && leftMillis() > LEAST_LEFT_MILLIS
                && context.retryBudget(service).tryTake(context.fleet().hostCount(), context.now());
    }

    private void runAgain(RunnerAttempt tried) {
        excluded.add(tried.runner().identifier());
        place();
    }

    /** Ends a request whose outcome isn't known. */
    private void giveUp(FailureCode code) {
        if (isOver) {
            return;
        }
        if (writer.hasBegun()) {
            finish("cut");
            caller.cut();
            return;
        }
        refuse(code, 0);
    }

    /** Passes a part of a stream on. */
    void relay(RunnerAttempt source, HttpResponse answerHead, ByteBuf bytes) {
        if (!writer.hasBegun()) {
            context.metrics().firstByte(route.name(), elapsedMillis() / 1_000);
        }
        writer.part(answerHead, bytes);
        if (!caller.channel().isWritable()) {
            source.callerWritable(false);
        }
    }

    /** The runner ended the stream as it should. */
    void relayEnded(RunnerAttempt source, HttpResponse answerHead, ByteBuf rest) {
        attempt = null;
        writer.end(answerHead, rest);
        finish("complete");
        caller.answered(writer.isKept());
    }

    /** The whole answer is here. */
    void complete(RunnerAttempt source, HttpResponse answer, ByteBuf whole) {
        attempt = null;
        boolean isFailure = answer.status().code() >= 500;
        if (isFailure && route.kind().isRepeatable() && mayRunAgain()) {
            whole.release();
            log.trouble(this, "failed", source, "status " + answer.status().code());
            runAgain(source);
            return;
        }
        if (writer.hasBegun()) {
            whole.release();
            giveUp(FailureCode.RUNNER_ANSWER_INVALID);
            return;
        }
        context.metrics().firstByte(route.name(), elapsedMillis() / 1_000);
        writer.whole(answer, whole);
        finish(String.valueOf(answer.status().code()));
        caller.answered(writer.isKept());
    }

    void callerWritable(boolean isWritable) {
        if (attempt != null) {
            attempt.callerWritable(isWritable);
        }
    }

    private void timedOut() {
        if (isOver) {
            return;
        }
        boolean mayHaveRun = runs > 0;
        cancelAttempt();
        giveUp(mayHaveRun ? FailureCode.RUNNER_TIMEOUT : FailureCode.QUEUE_TIMEOUT);
    }

    /** The caller closed its connection. */
    void callerLeft() {
        if (isOver) {
            return;
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

    private void refuse(FailureCode code, double retryAfterMillis) {
        finish(code.code());
        writer.refuse(code, retryAfterMillis);
        caller.answered(writer.isKept());
    }

    private void finish(String outcome) {
        isOver = true;
        if (deadline != null) {
            deadline.cancel(false);
        }
        body.release();
        context.metrics().answered(routeName(), outcome);
        log.ended(this, outcome);
    }
}
