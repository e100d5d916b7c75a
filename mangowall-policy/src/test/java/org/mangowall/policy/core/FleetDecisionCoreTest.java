package org.mangowall.policy.core;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.mangowall.kernel.failure.FailureCode;
import org.mangowall.kernel.name.RequestIdentifier;
import org.mangowall.kernel.name.RouterName;
import org.mangowall.kernel.name.RunnerName;
import org.mangowall.kernel.name.ZoneName;
import org.mangowall.kernel.plugin.PluginRegistry;
import org.mangowall.kernel.time.ManualClock;
import org.mangowall.policy.DecisionCore;
import org.mangowall.policy.RequestDescription;
import org.mangowall.policy.RouterIdentity;
import org.mangowall.policy.RoutingReason;
import org.mangowall.policy.RunnerOutcome;
import org.mangowall.policy.RunnerReport;
import org.mangowall.policy.SchedulingPolicy;
import org.mangowall.policy.action.DecisionAction;
import org.mangowall.policy.event.DecisionEvent;
import org.mangowall.policy.fleet.FleetView;
import org.mangowall.policy.fleet.MemberState;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

class FleetDecisionCoreTest {

    private static final RunnerName RUNNER = new RunnerName("runner-1");

    private final ManualClock clock = new ManualClock(Instant.EPOCH);
    private final RequestIdentifier first = Samples.identifier("router-1", 1);
    private DecisionCore core = core("fair");

    private DecisionCore core(String policy) {
        RouterIdentity identity = new RouterIdentity(new RouterName("router-1"), 1, new ZoneName("a"));
        DecisionCore newCore =
                PluginRegistry.load(SchedulingPolicy.class).find(policy).create(identity, clock, 7);
        newCore.handle(new DecisionEvent.ConfigurationChanged(Samples.smallInventory(1)
                .runner(Samples.runner("runner-1", Samples.MODEL, "a", 4))
                .runner(Samples.runner("runner-2", Samples.PLAIN, "a", 1))
                .build()));
        newCore.handle(new DecisionEvent.RunnerReported(new RunnerReport(RUNNER, 1, 0, 0)));
        newCore.handle(new DecisionEvent.RunnerReported(new RunnerReport(new RunnerName("runner-2"), 1, 0, 0)));
        return newCore;
    }

    private List<DecisionAction> arrive(RequestDescription request) {
        return core.handle(new DecisionEvent.CallerArrived(request));
    }

    @Test
    void allPoliciesAreRegistered() {
        Set<String> names = PluginRegistry.load(SchedulingPolicy.class).names();
        assertEquals(Set.of("fair", "local-fair", "round-robin", "least-outstanding"), names);
    }

    @Test
    void everyPolicySendsARequestToTheOnlyRunner() {
        for (String policy : PluginRegistry.load(SchedulingPolicy.class).names()) {
            core = core(policy);
            List<DecisionAction> actions = arrive(Samples.request(first, "alma", Samples.MODEL, true));
            DecisionAction.SendToRunner send =
                    assertInstanceOf(DecisionAction.SendToRunner.class, actions.getFirst(), policy);
            assertEquals(RUNNER, send.runner());
        }
    }

    @Test
    void anUnknownWorkspaceIsRefused() {
        List<DecisionAction> actions = arrive(Samples.request(first, "nobody", Samples.MODEL, true));
        assertEquals(
                List.of(new DecisionAction.RefuseRequest(first, FailureCode.WORKSPACE_UNKNOWN, Duration.ofSeconds(1))),
                actions);
    }

    @Test
    void aRequestForAnotherZonesRunnerIsPassedToItsHome() {
        core.handle(new DecisionEvent.FleetChanged(
                FleetView.of(List.of(Samples.member("router-2", 1, "b", MemberState.ALIVE)))));
        core.handle(new DecisionEvent.ConfigurationChanged(Samples.smallInventory(2)
                .runner(Samples.runner("runner-3", Samples.MODEL, "b", 4))
                .build()));
        RequestDescription request = Samples.request(first, "alma", Samples.MODEL, true);
        assertEquals(
                List.of(new DecisionAction.PassToHome(request, new RouterName("router-2"), RoutingReason.ONLY_HOME)),
                arrive(request));
    }

    @Test
    void aNonRepeatableRequestWhoseConnectionBrokeIsNotSentAgain() {
        arrive(Samples.request(first, "alma", Samples.PLAIN, false));
        List<DecisionAction> actions = core.handle(new DecisionEvent.AnswerEnded(first, RunnerOutcome.BROKEN, 0));
        DecisionAction.RefuseRequest refusal = assertInstanceOf(DecisionAction.RefuseRequest.class, actions.getFirst());
        assertEquals(FailureCode.RUNNER_CONNECTION_LOST, refusal.code());
    }

    @Test
    void aRepeatableRequestThatMayHaveRunIsNotReportedAsNotRun() {
        arrive(Samples.request(first, "alma", Samples.PLAIN, true));
        assertTrue(core.handle(new DecisionEvent.AnswerEnded(first, RunnerOutcome.BROKEN, 0))
                .isEmpty());
        clock.advance(Duration.ofSeconds(31));
        DecisionAction.RefuseRequest refusal = core.handle(new DecisionEvent.ClockTicked()).stream()
                .filter(DecisionAction.RefuseRequest.class::isInstance)
                .map(DecisionAction.RefuseRequest.class::cast)
                .findFirst()
                .orElseThrow();
        assertEquals(FailureCode.RUNNER_CONNECTION_LOST, refusal.code());
    }

    @Test
    void aRequestToAFullQueueIsRefusedWithARetryTime() {
        for (int sequence = 1; sequence <= 6; sequence++) {
            arrive(Samples.request(Samples.identifier("router-1", sequence), "alma", Samples.MODEL, true));
        }
        List<DecisionAction> actions =
                arrive(Samples.request(Samples.identifier("router-1", 7), "alma", Samples.MODEL, true));
        DecisionAction.RefuseRequest refusal = assertInstanceOf(DecisionAction.RefuseRequest.class, actions.getFirst());
        assertEquals(FailureCode.WORKSPACE_QUEUE_FULL, refusal.code());
        assertTrue(refusal.retryAfter().toMillis() >= 1000);
    }
}
