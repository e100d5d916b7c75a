package org.mangowall.policy.core;

import java.util.Optional;

import org.mangowall.kernel.failure.FailureCode;
import org.mangowall.kernel.name.RequestIdentifier;
import org.mangowall.policy.ReleaseReason;
import org.mangowall.policy.RunnerOutcome;
import org.mangowall.policy.core.RunnerPool.PooledRunner;

/** Tracks the attempts at the runners of one home and decides on a retry when one fails. */
final class AttemptTracker {

    private static final int MAX_ATTEMPTS = 3;

    private final CoreContext context;
    private final HomeRole home;
    private final CostAccounting accounting;

    AttemptTracker(CoreContext context, HomeRole home, CostAccounting accounting) {
        this.context = context;
        this.home = home;
        this.accounting = accounting;
    }

    void began(RequestIdentifier identifier) {
        HomeRequest request = findSent(identifier);
        if (request == null || request.state() == RequestState.ANSWERING) {
            return;
        }
        request.markAnswerBegun();
        PooledRunner runner = runnerOf(request);
        if (runner != null) {
            long now = context.now();
            runner.limit().recordFirstProgress(now, now - request.sentAt());
        }
    }

    void progressed(RequestIdentifier identifier, double costSoFar) {
        HomeRequest request = findSent(identifier);
        if (request != null) {
            accounting.recordProgress(serviceOf(request), request, costSoFar);
        }
    }

    void ended(RequestIdentifier identifier, RunnerOutcome outcome, double cost) {
        HomeRequest request = findSent(identifier);
        if (request == null) {
            return;
        }
        ServiceState service = serviceOf(request);
        PooledRunner runner = runnerOf(request);
        if (runner != null) {
            runner.limit().recordEnd(context.now(), outcome);
        }
        accounting.settleAttempt(service, request, cost);
        switch (outcome) {
            case COMPLETED -> {
                service.ledger().recordCost(request.description().workspace(), cost);
                home.removeRequest(service, request);
            }
            case NOT_SENT, REFUSED -> retryNotRun(service, request, outcome);
            case BROKEN -> retryPossiblyRun(service, request, FailureCode.RUNNER_CONNECTION_LOST);
            case TIMED_OUT -> retryPossiblyRun(service, request, FailureCode.RUNNER_TIMEOUT);
            default -> home.removeRequest(service, request);
        }
    }

    /** Retries an attempt that certainly did not run, which is safe for any request. */
    private void retryNotRun(ServiceState service, HomeRequest request, RunnerOutcome outcome) {
        boolean hasBegun = request.state() == RequestState.ANSWERING;
        boolean isWithinBudget =
                outcome == RunnerOutcome.NOT_SENT || service.retryBudget().tryTake();
        if (hasBegun || request.attempts() >= MAX_ATTEMPTS || !isWithinBudget) {
            home.refuse(service, request, FailureCode.RETRIES_EXHAUSTED);
            return;
        }
        requeue(service, request, false);
    }

    /** Retries an attempt that may have run, which is safe only for a repeatable request whose answer has not begun. */
    private void retryPossiblyRun(ServiceState service, HomeRequest request, FailureCode code) {
        boolean isRepeatable = request.description().repeatable() && request.state() == RequestState.SENT;
        boolean mayRetry = isRepeatable && request.attempts() < MAX_ATTEMPTS;
        if (!mayRetry || !service.retryBudget().tryTake()) {
            home.refuse(service, request, code);
            return;
        }
        requeue(service, request, true);
    }

    private void requeue(ServiceState service, HomeRequest request, boolean mayHaveRun) {
        request.requeue(mayHaveRun);
        service.queue().add(request);
        if (!service.pool().hasOpenRunner()) {
            home.release(service, request, ReleaseReason.NOT_SENT, Optional.empty());
        }
    }

    private HomeRequest findSent(RequestIdentifier identifier) {
        HomeRequest request = home.find(identifier);
        return request == null || request.state() == RequestState.QUEUED ? null : request;
    }

    private ServiceState serviceOf(HomeRequest request) {
        return home.service(request.description().service());
    }

    private PooledRunner runnerOf(HomeRequest request) {
        return serviceOf(request).pool().find(request.runner());
    }
}
