package org.mangowall.policy.action;

import java.time.Duration;
import java.util.Optional;

import org.mangowall.kernel.failure.FailureCode;
import org.mangowall.kernel.name.RequestIdentifier;
import org.mangowall.kernel.name.RouterName;
import org.mangowall.kernel.name.RunnerName;
import org.mangowall.kernel.name.ServiceName;
import org.mangowall.policy.CounterSnapshot;
import org.mangowall.policy.ReleaseReason;
import org.mangowall.policy.RequestDescription;
import org.mangowall.policy.RoutingReason;
import org.mangowall.policy.ServiceExchange;

/** Something that a router's decision core orders. */
public sealed interface DecisionAction {

    /** Entry: pass the request with its body to its home, which is another router. */
    record PassToHome(RequestDescription request, RouterName home, RoutingReason reason) implements DecisionAction {}

    /** Home: send the request to a runner. */
    record SendToRunner(RequestDescription request, RunnerName runner, RoutingReason reason)
            implements DecisionAction {}

    /**
     * Home or entry: end the request with a failure; a home's refusal travels to the caller through the entry.
     *
     * @param retryAfter when the caller may try again; zero when there is nothing to say
     */
    record RefuseRequest(RequestIdentifier request, FailureCode code, Duration retryAfter) implements DecisionAction {}

    /** Home: give a waiting request back to its entry, which is another router; it has not run. */
    record ReleaseToEntry(RequestDescription request, ReleaseReason reason, Optional<RouterName> moveTo)
            implements DecisionAction {}

    /** Entry: tell the home, which is another router, that the request is not wanted any more. */
    record CancelAtHome(RequestIdentifier request, RouterName home) implements DecisionAction {}

    /** Home: stop a running request at its runner. */
    record CancelAtRunner(RequestIdentifier request, RunnerName runner) implements DecisionAction {}

    /** Home: tell another home the state of a service. */
    record SendExchange(RouterName to, ServiceExchange exchange) implements DecisionAction {}

    /**
     * Home: ask another home for waiting requests.
     *
     * @param belowTag only requests of workspaces with a smaller virtual time; positive infinity for any
     */
    record SendPull(RouterName to, ServiceName service, int slots, double belowTag) implements DecisionAction {}

    /** Ask a router for all its counters. */
    record RequestCounters(RouterName to) implements DecisionAction {}

    /** Send counters to a router that asked. */
    record SendCounters(RouterName to, CounterSnapshot snapshot) implements DecisionAction {}
}
