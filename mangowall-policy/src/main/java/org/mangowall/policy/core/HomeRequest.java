package org.mangowall.policy.core;

import java.time.Duration;
import java.util.Comparator;
import java.util.Set;
import java.util.TreeSet;

import org.mangowall.kernel.name.RunnerName;
import org.mangowall.policy.RequestDescription;

/** A request in the table of its home. */
final class HomeRequest {

    /** The oldest first. */
    static final Comparator<HomeRequest> BY_AGE = Comparator.<HomeRequest>comparingLong(request -> request.waitingSince)
            .thenComparing(request -> request.description.identifier());

    private final long waitingSince;
    private final Set<RunnerName> tried = new TreeSet<>();
    private RequestDescription description;
    private RequestState state = RequestState.QUEUED;
    private RunnerName runner;
    private long sentAt;
    private int attempts;
    private double chargedCost;
    private double chargedByWeight;

    HomeRequest(RequestDescription description, long now) {
        this.description = description;
        this.waitingSince = now - description.waited().toMillis();
    }

    RequestDescription description() {
        return description;
    }

    RequestState state() {
        return state;
    }

    RunnerName runner() {
        return runner;
    }

    Set<RunnerName> tried() {
        return tried;
    }

    int attempts() {
        return attempts;
    }

    long waitingSince() {
        return waitingSince;
    }

    long sentAt() {
        return sentAt;
    }

    double chargedCost() {
        return chargedCost;
    }

    double chargedByWeight() {
        return chargedByWeight;
    }

    void send(RunnerName target, long now) {
        state = RequestState.SENT;
        runner = target;
        tried.add(target);
        sentAt = now;
        attempts++;
    }

    void beginAnswer() {
        state = RequestState.ANSWERING;
    }

    void queueAgain(boolean mayHaveRun) {
        state = RequestState.QUEUED;
        runner = null;
        chargedCost = 0;
        chargedByWeight = 0;
        if (mayHaveRun) {
            description = description.afterUncertainTry();
        }
    }

    void charge(double cost, double byWeight) {
        chargedCost += cost;
        chargedByWeight += byWeight;
    }

    RequestDescription released(long now) {
        return description.movedAfter(Duration.ofMillis(now - waitingSince));
    }
}
