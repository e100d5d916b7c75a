package org.mangowall.policy.core;

import java.time.Duration;
import java.util.Comparator;
import java.util.Set;
import java.util.TreeSet;

import org.mangowall.kernel.name.RunnerName;
import org.mangowall.policy.RequestDescription;

/** State that the home keeps for one request. */
final class HomeRequest {

    /** Orders requests by age, oldest first, then by identifier. */
    static final Comparator<HomeRequest> BY_AGE = Comparator.<HomeRequest>comparingLong(request -> request.waitingSince)
            .thenComparing(request -> request.description.identifier());

    private final long waitingSince;
    private final Set<RunnerName> triedRunners = new TreeSet<>();
    private RequestDescription description;
    private RequestState state = RequestState.QUEUED;
    private RunnerName runner;
    private long sentAt;
    private int attempts;
    private double chargedCost;
    private double chargedCostPerWeight;

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

    Set<RunnerName> triedRunners() {
        return triedRunners;
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

    double chargedCostPerWeight() {
        return chargedCostPerWeight;
    }

    void markSent(RunnerName target, long now) {
        state = RequestState.SENT;
        runner = target;
        triedRunners.add(target);
        sentAt = now;
        attempts++;
    }

    void markAnswerBegun() {
        state = RequestState.ANSWERING;
    }

    void requeue(boolean mayHaveRun) {
        state = RequestState.QUEUED;
        runner = null;
        chargedCost = 0;
        chargedCostPerWeight = 0;
        if (mayHaveRun) {
            description = description.afterUncertainAttempt();
        }
    }

    void charge(double cost, double costPerWeight) {
        chargedCost += cost;
        chargedCostPerWeight += costPerWeight;
    }

    RequestDescription releasedDescription(long now) {
        return description.afterMove(Duration.ofMillis(now - waitingSince));
    }
}
