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

/** Action that a decision core returns for the router to execute. */
public sealed interface DecisionAction {

    /** Entry: pass the request with its body to its home, which is another router. */
    record PassToHome(RequestDescription request, RouterName home, RoutingReason reason) implements DecisionAction {}

    /** Home: send the request to a runner. */
    record SendToRunner(RequestDescription request, RunnerName runner, RoutingReason reason)
            implements DecisionAction {}

    /**
     * Home or entry: end the request with a failure; a home's refusal reaches the caller through the entry.
     *
     * @param retryAfter the time after which the caller may retry; zero if unspecified
     */
    record RefuseRequest(RequestIdentifier request, FailureCode code, Duration retryAfter) implements DecisionAction {}

    /** Home: return a queued request to its entry, which is another router. */
    record ReleaseToEntry(RequestDescription request, ReleaseReason reason, Optional<RouterName> moveTo)
            implements DecisionAction {}

    /** Entry: cancel the request at its home, which is another router. */
    record CancelAtHome(RequestIdentifier request, RouterName home) implements DecisionAction {}

    /** Home: stop a running request at its runner. */
    record CancelAtRunner(RequestIdentifier request, RunnerName runner) implements DecisionAction {}

    /** Home: send the state of a service to another home. */
    record SendExchange(RouterName to, ServiceExchange exchange) implements DecisionAction {}

    /**
     * Home: pull queued requests from another home.
     *
     * @param belowVirtualTime only requests of workspaces with a smaller virtual time; positive infinity for any
     */
    record SendPull(RouterName to, ServiceName service, int slots, double belowVirtualTime) implements DecisionAction {}

    /** Request all counters of a router. */
    record RequestCounters(RouterName to) implements DecisionAction {}

    /** Send all counters of a service to a router that requested them. */
    record SendCounters(RouterName to, CounterSnapshot snapshot) implements DecisionAction {}
}
