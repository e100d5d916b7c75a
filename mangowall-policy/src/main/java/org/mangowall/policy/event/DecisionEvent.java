package org.mangowall.policy.event;

import java.util.Optional;

import org.mangowall.inventory.Inventory;
import org.mangowall.kernel.name.RequestIdentifier;
import org.mangowall.kernel.name.RouterName;
import org.mangowall.kernel.name.ServiceName;
import org.mangowall.policy.CounterSnapshot;
import org.mangowall.policy.ReleaseReason;
import org.mangowall.policy.RequestDescription;
import org.mangowall.policy.RunnerOutcome;
import org.mangowall.policy.RunnerReport;
import org.mangowall.policy.ServiceExchange;
import org.mangowall.policy.fleet.FleetView;

/** Event that a decision core handles. */
public sealed interface DecisionEvent {

    /** A configuration came into force; a version that is not newer than the current one is ignored. */
    record ConfigurationChanged(Inventory inventory) implements DecisionEvent {}

    /** The view of the fleet changed. */
    record FleetChanged(FleetView view) implements DecisionEvent {}

    /** Entry: a caller's request was received completely and validated. */
    record CallerArrived(RequestDescription request) implements DecisionEvent {}

    /** Entry: the caller closed its connection before its answer ended. */
    record CallerDisconnected(RequestIdentifier request) implements DecisionEvent {}

    /** Entry: the first byte of an answer was passed to the caller; the request can no longer move. */
    record CallerAnswerBegan(RequestIdentifier request) implements DecisionEvent {}

    /** Entry: the answer or a refusal was passed to the caller in full; the request has ended. */
    record CallerAnswerEnded(RequestIdentifier request) implements DecisionEvent {}

    /** Entry: a home returned the request; its description tells whether it may have run. */
    record RequestReleased(
            RequestIdentifier request,
            RouterName home,
            ReleaseReason reason,
            RequestDescription description,
            Optional<RouterName> moveTo)
            implements DecisionEvent {}

    /** Home: an entry passed a request to this home. */
    record RequestPassed(RequestDescription request) implements DecisionEvent {}

    /** Home: the entry cancelled the request. */
    record RequestCancelled(RequestIdentifier request) implements DecisionEvent {}

    /** Home: the runner's answer began; from now on a retry would be visible to the caller. */
    record AnswerBegan(RequestIdentifier request) implements DecisionEvent {}

    /**
     * Home: the answer progressed.
     *
     * @param costSoFar the total cost so far, in cost units
     */
    record AnswerProgressed(RequestIdentifier request, double costSoFar) implements DecisionEvent {}

    /**
     * Home: an attempt at a runner ended.
     *
     * @param cost the cost reported by the runner, or as far as known, in cost units
     */
    record AnswerEnded(RequestIdentifier request, RunnerOutcome outcome, double cost) implements DecisionEvent {}

    /** Home: a runner reported its load. */
    record RunnerReported(RunnerReport report) implements DecisionEvent {}

    /** Home: another home sent its state of a service. */
    record ExchangeReceived(ServiceExchange exchange) implements DecisionEvent {}

    /**
     * Home: another home pulls requests that are queued here.
     *
     * @param belowVirtualTime only requests of workspaces with a smaller virtual time; positive infinity for any
     */
    record PullReceived(RouterName from, ServiceName service, int slots, double belowVirtualTime)
            implements DecisionEvent {}

    /** A router that started without counters requests all of them. */
    record CountersRequested(RouterName from) implements DecisionEvent {}

    /** Another router sent all counters of a service that it knows. */
    record CountersReceived(CounterSnapshot snapshot) implements DecisionEvent {}

    /** The connection to a router was lost for good, or another incarnation of the router appeared. */
    record PeerLost(RouterName router, long incarnation) implements DecisionEvent {}

    /** The graceful shutdown of this router began. */
    record LeaveBegan() implements DecisionEvent {}

    /** Time passed; sent at least every 100 ms. */
    record ClockTicked() implements DecisionEvent {}
}
