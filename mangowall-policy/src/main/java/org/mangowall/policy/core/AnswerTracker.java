package org.mangowall.policy.core;

import java.util.Optional;

import org.mangowall.kernel.failure.FailureCode;
import org.mangowall.kernel.name.RequestIdentifier;
import org.mangowall.policy.ReleaseReason;
import org.mangowall.policy.RunnerOutcome;
import org.mangowall.policy.core.RunnerPool.HomedRunner;

/** Follows the tries at runners of one home and decides what comes after a failed one. */
final class AnswerTracker {

    private static final int LARGEST_ATTEMPTS = 3;

    private final CoreContext context;
    private final HomeRole home;
    private final Accounting accounting;

    AnswerTracker(CoreContext context, HomeRole home, Accounting accounting) {
        this.context = context;
        this.home = home;
        this.accounting = accounting;
    }

    void began(RequestIdentifier identifier) {
        HomeRequest request = running(identifier);
        if (request == null || request.state() == RequestState.ANSWERING) {
            return;
        }
        request.beginAnswer();
        HomedRunner runner = runnerOf(request);
        if (runner != null) {
            long now = context.now();
            runner.limit().progressed(now, now - request.sentAt());
        }
    }

    void progressed(RequestIdentifier identifier, double costSoFar) {
        HomeRequest request = running(identifier);
        if (request != null) {
            accounting.progressed(serviceOf(request), request, costSoFar);
        }
    }

    void ended(RequestIdentifier identifier, RunnerOutcome outcome, double cost) {
        HomeRequest request = running(identifier);
        if (request == null) {
            return;
        }
        ServiceState service = serviceOf(request);
        HomedRunner runner = runnerOf(request);
        if (runner != null) {
            runner.limit().ended(context.now(), outcome);
        }
        accounting.settle(service, request, cost);
        switch (outcome) {
            case COMPLETED -> {
                service.ledger().learn(request.description().workspace(), cost);
                home.forget(service, request);
            }
            case NOT_SENT, REFUSED -> retryCertain(service, request, outcome);
            case BROKEN -> retryUncertain(service, request, FailureCode.RUNNER_CONNECTION_LOST);
            case TIMED_OUT -> retryUncertain(service, request, FailureCode.RUNNER_TIMEOUT);
            default -> home.forget(service, request);
        }
    }

    /** The try surely did not run, so another one is safe for any request. */
    private void retryCertain(ServiceState service, HomeRequest request, RunnerOutcome outcome) {
        boolean began = request.state() == RequestState.ANSWERING;
        boolean budgeted =
                outcome == RunnerOutcome.NOT_SENT || service.retryBudget().tryTake();
        if (began || request.attempts() >= LARGEST_ATTEMPTS || !budgeted) {
            home.refuse(service, request, FailureCode.RETRIES_EXHAUSTED);
            return;
        }
        queueAgain(service, request, false);
    }

    /** The try may have run, so only a repeatable request whose answer did not begin may have another. */
    private void retryUncertain(ServiceState service, HomeRequest request, FailureCode code) {
        boolean repeatable = request.description().repeatable() && request.state() == RequestState.SENT;
        boolean mayRetry = repeatable && request.attempts() < LARGEST_ATTEMPTS;
        if (!mayRetry || !service.retryBudget().tryTake()) {
            home.refuse(service, request, code);
            return;
        }
        queueAgain(service, request, true);
    }

    private void queueAgain(ServiceState service, HomeRequest request, boolean mayHaveRun) {
        request.queueAgain(mayHaveRun);
        service.queue().add(request);
        if (!service.pool().hasOpenRunner()) {
            home.release(service, request, ReleaseReason.NOT_SENT, Optional.empty());
        }
    }

    private HomeRequest running(RequestIdentifier identifier) {
        HomeRequest request = home.find(identifier);
        return request == null || request.state() == RequestState.QUEUED ? null : request;
    }

    private ServiceState serviceOf(HomeRequest request) {
        return home.service(request.description().service());
    }

    private HomedRunner runnerOf(HomeRequest request) {
        return serviceOf(request).pool().find(request.runner());
    }
}
