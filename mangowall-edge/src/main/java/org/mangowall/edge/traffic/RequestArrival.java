package org.mangowall.edge.traffic;

import java.util.Optional;

import org.mangowall.edge.decision.LoadEvent;
import org.mangowall.edge.model.PromptDescription;
import org.mangowall.edge.model.Route;
import org.mangowall.kernel.failure.FailureCode;

/**
 * Lets a request that has been read wait for this host's processor, or refuses it at once.
 *
 * <p>Load: the callers of a large workspace enter at one host and ask for more than its processor can forward. Whoever
 * waits there longer than a response is of use is answered for nothing, and delays all that come later.
 */
final class RequestArrival {

    /** Part of the time within which a response is of use that a request may wait; the rest is for the runner. */
    private static final double BEARABLE_WAIT_FRACTION = 0.5;

    private final EdgeContext context;
    private final Exchange exchange;
    private final ExchangeLog log;
    private boolean isStarted;

    RequestArrival(EdgeContext context, Exchange exchange, ExchangeLog log) {
        this.context = context;
        this.exchange = exchange;
        this.log = log;
    }

    /** Whether the request's turn has come. */
    boolean isStarted() {
        return isStarted;
    }

    /** The request has been read; nothing is written before this turn of the loop has ended. */
    void arrived() {
        Optional<FailureCode> failure = exchange.resolve();
        if (failure.isPresent()) {
            afterThisTurn(() -> exchange.refuse(failure.get(), RequestResolver.retryAfterMillis(failure.get())));
            return;
        }
        String workspace = exchange.workspace().orElse("");
        if (!workspace.isEmpty() && exchange.costTokens() > 0) {
            context.refusedDemand().recordArrival(workspace, exchange.costTokens(), context.now());
        }
        double waitMillis = context.deferredWork().delayNanos(workspace) / Exchange.NANOS_PER_MILLI;
        if (waitMillis > bearableWaitMillis()) {
            afterThisTurn(() -> refuseBusy(waitMillis));
            return;
        }
        context.deferredWork().addArrived(workspace, this::start);
    }

    private void afterThisTurn(Runnable refusal) {
        context.deferredWork().addUrgent(() -> {
            if (!exchange.isFinished()) {
                refusal.run();
            }
        });
    }

    private void start() {
        if (exchange.isFinished()) {
            return;
        }
        isStarted = true;
        exchange.timing().start();
        double waitedMillis = exchange.timing().waitingMillis();
        if (waitedMillis > bearableWaitMillis()) {
            refuseBusy(waitedMillis);
            return;
        }
        exchange.start();
    }

    private double bearableWaitMillis() {
        return bearableWaitMillis(exchange.route(), exchange.timing().timeoutMillis());
    }

    /** Returns how long a request may wait before it is placed. */
    static double bearableWaitMillis(Route route, double timeoutMillis) {
        double usefulMillis =
                route.kind().isStream() ? Math.min(route.latencyGoal().toMillis(), timeoutMillis) : timeoutMillis;
        return BEARABLE_WAIT_FRACTION * usefulMillis;
    }

    private void refuseBusy(double waitMillis) {
        log.hostBusy(exchange, waitMillis);
        publishTurnedAway();
        exchange.refuse(FailureCode.HOST_BUSY, waitMillis);
    }

    /** Tells all hosts that the workspace asks for more than it gets. */
    void publishTurnedAway() {
        Optional<PromptDescription> prompt = exchange.prompt();
        if (exchange.workspace().isPresent() && prompt.isPresent()) {
            context.publish(new LoadEvent.TurnedAway(
                    exchange.workspace().get(), prompt.get().costTokens()));
        }
    }
}
