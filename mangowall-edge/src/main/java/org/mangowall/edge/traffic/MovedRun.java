package org.mangowall.edge.traffic;

import java.util.List;
import java.util.Optional;

import org.mangowall.edge.decision.LoadEvent;
import org.mangowall.edge.decision.PlacementDecision;
import org.mangowall.edge.model.PromptDescription;
import org.mangowall.edge.model.RunCopy;
import org.mangowall.edge.model.RunnerEntry;

/** Moves the run of a request from the runner that has read its prompt to the one that generates the rest. */
final class MovedRun {

    private final EdgeContext context;
    private final Exchange exchange;
    private final RunnerConnections runners;
    private final ExchangeLog log;
    private RunnerEntry copySource;

    MovedRun(EdgeContext context, Exchange exchange, RunnerConnections runners) {
        this.context = context;
        this.exchange = exchange;
        this.runners = runners;
        this.log = new ExchangeLog(context);
    }

    /** Asks the runner of an attempt to move the run on; empty if it should stay there. */
    Optional<RunMove> start(RunnerAttempt source) {
        Optional<RunnerEntry> target = exchange.prompt()
                .flatMap(prompt -> context.placement().moveTarget(source.runner(), prompt, context.now()));
        if (target.isEmpty() || !exchange.mayRepeat()) {
            return Optional.empty();
        }
        RunMove move = new RunMove(context, source.runner(), target.get(), source::moveAnswered);
        move.start(runners, exchange.identifier());
        return Optional.of(move);
    }

    /** The run of an attempt has stopped and goes on at a runner with a copy of its memory. */
    void moved(RunnerAttempt source, RunnerEntry target, RunCopy copy) {
        if (exchange.isFinished()) {
            return;
        }
        log.moved(exchange, source, target);
        copySource = source.runner();
        boolean isAtSource = target.identifier().equals(copySource.identifier());
        context.metrics().countMove(target.service(), isAtSource);
        sendRest(target, copy);
    }

    private void sendRest(RunnerEntry target, RunCopy copy) {
        long attemptNumber = context.nextAttemptNumber();
        RunnerAttempt rest = new RunnerAttempt(
                context, exchange, PlacementDecision.Send.ofRest(target), attemptNumber, Optional.of(copy));
        exchange.replaceAttempt(rest);
        int memoryTokens =
                exchange.prompt().map(PromptDescription::memoryTokens).orElse(0);
        // The cost of the request was counted when it was sent to the first runner.
        context.publish(new LoadEvent.Sent(
                attemptNumber,
                target.identifier(),
                exchange.workspace(),
                List.of(),
                0,
                memoryTokens,
                0,
                Optional.empty()));
        runners.acquire(target, rest::connected);
    }

    /** A runner has not run the rest of the run; its memory is still at the runner that stopped. */
    void restNotRun(RunnerAttempt tried, RunCopy copy) {
        if (exchange.isFinished()) {
            return;
        }
        boolean wasAtSource = tried.runner().identifier().equals(copySource.identifier());
        if (wasAtSource || !context.fleet().acceptsRequests(copySource)) {
            exchange.failed(tried, "the rest of the run was not accepted");
            return;
        }
        sendRest(copySource, copy);
    }

    /** Frees a copy that is not used. */
    void release(RunnerEntry source, RunCopy copy) {
        new CopyRelease(context, copy).start(runners, source);
    }
}
