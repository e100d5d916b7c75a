package org.mangowall.benchmark.fleet;

import java.util.HashMap;
import java.util.Map;

import org.mangowall.kernel.name.RequestIdentifier;
import org.mangowall.kernel.name.RouterName;
import org.mangowall.policy.DecisionStatus.RunnerStatus;
import org.mangowall.policy.action.DecisionAction;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Checks the invariants of requests and runner limits, at each action and at the end of a run. */
final class InvariantChecker implements FleetListener {

    private final SimulatedFleet fleet;
    private final FleetListener next;
    private final Map<RequestIdentifier, StringBuilder> histories = new HashMap<>();

    InvariantChecker(SimulatedFleet fleet, FleetListener next) {
        this.fleet = fleet;
        this.next = next;
    }

    @Override
    public void actionDecided(RouterName router, DecisionAction action) {
        recordAction(router, action);
        if (!(action instanceof DecisionAction.SendToRunner send)) {
            return;
        }
        for (RunnerStatus runner : fleet.core(router).status().runners()) {
            if (runner.runner().equals(send.runner())) {
                assertTrue(runner.running() <= runner.limit(), () -> router + " exceeds the limit of " + runner);
            }
        }
    }

    private void recordAction(RouterName router, DecisionAction action) {
        RequestIdentifier identifier = switch (action) {
            case DecisionAction.PassToHome pass -> pass.request().identifier();
            case DecisionAction.SendToRunner send -> send.request().identifier();
            case DecisionAction.ReleaseToEntry release -> release.request().identifier();
            case DecisionAction.RefuseRequest refusal -> refusal.request();
            case DecisionAction.CancelAtHome cancel -> cancel.request();
            case DecisionAction.CancelAtRunner cancel -> cancel.request();
            default -> null;
        };
        if (identifier != null) {
            histories
                    .computeIfAbsent(identifier, key -> new StringBuilder())
                    .append(String.format("%n%d %s %s", fleet.scheduler().now(), router, action));
        }
    }

    @Override
    public void sent(RequestRecord request) {
        next.sent(request);
    }

    @Override
    public void served(RequestRecord request) {
        next.served(request);
    }

    @Override
    public void ended(RequestRecord request) {
        assertEquals(1, request.endCount(), () -> request.description() + " ended twice");
        if (request.isRefusedAsNotRun()) {
            assertEquals(0, request.startCount(), () -> request.description() + " ran but was reported as not run");
        }
        next.ended(request);
    }

    /** Checks all requests; called when the fleet has settled and no request is open any more. */
    void checkAll() {
        for (RequestRecord request : fleet.requests()) {
            if (!request.description().repeatable()) {
                assertTrue(request.startCount() <= 1, () -> request.description() + " ran more than once");
            }
            RequestIdentifier identifier = request.description().identifier();
            boolean isEntryAlive = fleet.members().stream()
                    .anyMatch(member -> member.name().equals(identifier.entry())
                            && member.incarnation() == identifier.incarnation()
                            && fleet.core(member.name()) != null);
            if (isEntryAlive) {
                assertEquals(
                        1,
                        request.endCount(),
                        () -> identifier + " did not end exactly once: " + histories.get(identifier));
            }
        }
    }
}
