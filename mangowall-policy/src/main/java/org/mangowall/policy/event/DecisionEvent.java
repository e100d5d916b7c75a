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

/** Something that a router's decision core learns. */
public sealed interface DecisionEvent {

    /** A configuration is in force; an older version than the present one is ignored. */
    record ConfigurationChanged(Inventory inventory) implements DecisionEvent {}

    /** The view of the fleet changed. */
    record FleetChanged(FleetView view) implements DecisionEvent {}

    /** Entry: a caller's request is whole and checked. */
    record CallerArrived(RequestDescription request) implements DecisionEvent {}

    /** Entry: the caller closed its connection before its answer ended. */
    record CallerDisconnected(RequestIdentifier request) implements DecisionEvent {}

    /** Entry: the first byte of an answer was passed to the caller; the request can't move any more. */
    record CallerAnswerBegan(RequestIdentifier request) implements DecisionEvent {}

    /** Entry: the answer or a refusal was passed to the caller in full; the request is over. */
    record CallerAnswerEnded(RequestIdentifier request) implements DecisionEvent {}

    /** Entry: a home gave the request back without having run it. */
    record RequestReleased(
            RequestIdentifier request,
            RouterName home,
            ReleaseReason reason,
            RequestDescription description,
            Optional<RouterName> moveTo)
            implements DecisionEvent {}

    /** Home: an entry router passed on a request. */
    record RequestPassed(RequestDescription request) implements DecisionEvent {}

    /** Home: the entry does not want the request any more. */
    record RequestCancelled(RequestIdentifier request) implements DecisionEvent {}

    /** Home: the runner's answer began; nothing of the request may be repeated without a trace from here on. */
    record AnswerBegan(RequestIdentifier request) implements DecisionEvent {}

    /**
     * Home: the answer goes on.
     *
     * @param costSoFar the whole cost known so far, in cost units
     */
    record AnswerProgressed(RequestIdentifier request, double costSoFar) implements DecisionEvent {}

    /**
     * Home: a try ended.
     *
     * @param cost the cost as the runner reports it, or as far as known, in cost units
     */
    record AnswerEnded(RequestIdentifier request, RunnerOutcome outcome, double cost) implements DecisionEvent {}

    /** Home: a runner reported its load. */
    record RunnerReported(RunnerReport report) implements DecisionEvent {}

    /** Another home's state of a service arrived. */
    record ExchangeReceived(ServiceExchange exchange) implements DecisionEvent {}

    /**
     * Home: another home has room for requests that wait here.
     *
     * @param belowTag only requests of workspaces with a smaller virtual time; positive infinity for any
     */
    record PullReceived(RouterName from, ServiceName service, int slots, double belowTag) implements DecisionEvent {}

    /** A router that started empty asks for all counters. */
    record CountersRequested(RouterName from) implements DecisionEvent {}

    /** All counters of a service that another router knows. */
    record CountersReceived(CounterSnapshot snapshot) implements DecisionEvent {}

    /** The connection to a router is lost for good, or another incarnation of it has appeared. */
    record PeerLost(RouterName router, long incarnation) implements DecisionEvent {}

    /** The router begins a graceful shutdown. */
    record LeaveBegan() implements DecisionEvent {}

    /** Time has passed; comes at least every 100 ms. */
    record ClockTicked() implements DecisionEvent {}
}
