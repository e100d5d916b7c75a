package org.mangowall.policy.core;

import java.time.Clock;
import java.util.List;

import org.mangowall.inventory.Inventory;
import org.mangowall.policy.DecisionCore;
import org.mangowall.policy.DecisionStatus;
import org.mangowall.policy.RouterIdentity;
import org.mangowall.policy.action.DecisionAction;
import org.mangowall.policy.event.DecisionEvent;
import org.mangowall.policy.fleet.FleetView;

/** Decision core of all policies: passes each event to the role in charge, then dispatches queued requests. */
public final class FleetDecisionCore implements DecisionCore {

    private final CoreContext context;
    private final PeerHomeStates peers = new PeerHomeStates();
    private final HomeRole home;
    private final EntryRole entry;
    private final AttemptTracker attempts;
    private final PullRole pulls;
    private final ExchangeRole exchange;
    private boolean countersRequested;

    /** Creates the core of one router. */
    public FleetDecisionCore(RouterIdentity identity, Clock clock, long seed, PolicyTraits traits) {
        this.context = new CoreContext(identity, clock, seed, traits);
        CostAccounting accounting = new CostAccounting(context, peers);
        this.home = new HomeRole(context, accounting);
        this.entry = new EntryRole(context, home, new HomeChooser(context, peers, home));
        this.attempts = new AttemptTracker(context, home, accounting);
        this.pulls = new PullRole(context, home, peers);
        this.exchange = new ExchangeRole(context, home, peers, pulls);
        home.setReleaseListener(entry::released);
    }

    @Override
    public List<DecisionAction> handle(DecisionEvent event) {
        switch (event) {
            case DecisionEvent.ConfigurationChanged changed -> install(changed.inventory());
            case DecisionEvent.FleetChanged changed -> install(changed.view());
            case DecisionEvent.CallerArrived arrived -> entry.handleArrival(arrived.request());
            case DecisionEvent.CallerDisconnected disconnected -> entry.callerDisconnected(disconnected.request());
            case DecisionEvent.CallerAnswerBegan began -> entry.answerBegan(began.request());
            case DecisionEvent.CallerAnswerEnded ended -> entry.answerEnded(ended.request());
            case DecisionEvent.RequestReleased released ->
                entry.released(
                        released.request(),
                        released.home(),
                        released.reason(),
                        released.description(),
                        released.moveTo());
            case DecisionEvent.RequestPassed passed -> {
                pulls.recordArrival(passed.request());
                home.accept(passed.request());
            }
            case DecisionEvent.RequestCancelled cancelled -> home.cancel(cancelled.request());
            case DecisionEvent.AnswerBegan began -> attempts.began(began.request());
            case DecisionEvent.AnswerProgressed progressed ->
                attempts.progressed(progressed.request(), progressed.costSoFar());
            case DecisionEvent.AnswerEnded ended -> attempts.ended(ended.request(), ended.outcome(), ended.cost());
            case DecisionEvent.RunnerReported reported -> home.reported(reported.report());
            case DecisionEvent.ExchangeReceived received -> exchange.received(received.exchange());
            case DecisionEvent.PullReceived pull ->
                pulls.handlePull(pull.from(), pull.service(), pull.slots(), pull.belowVirtualTime());
            case DecisionEvent.CountersRequested requested -> exchange.sendCounters(requested.from());
            case DecisionEvent.CountersReceived received -> exchange.received(received.snapshot());
            case DecisionEvent.PeerLost lost -> {
                peers.removePeer(lost.router());
                home.peerLost(lost.router(), lost.incarnation());
                entry.peerLost(lost.router(), lost.incarnation());
            }
            case DecisionEvent.LeaveBegan began -> leave();
            case DecisionEvent.ClockTicked ticked -> tick();
        }
        return dispatchChangedServices();
    }

    private List<DecisionAction> dispatchChangedServices() {
        for (ServiceState service : home.takeChangedServices()) {
            int dispatched = home.dispatch(service);
            pulls.pullIfUseful(service, dispatched);
            exchange.onServiceChange(service);
        }
        return context.takeActions();
    }

    private void install(Inventory inventory) {
        if (inventory.version() <= context.inventory().version()) {
            return;
        }
        context.install(inventory);
        reassign();
    }

    private void install(FleetView view) {
        context.install(view);
        if (!countersRequested && view.members().size() > 1) {
            countersRequested = true;
            exchange.requestCounters();
        }
        reassign();
    }

    private void leave() {
        context.leave();
        reassign();
    }

    private void reassign() {
        home.markAllChanged();
        home.reassign();
        exchange.reassign();
        entry.placeUnassigned();
    }

    private void tick() {
        if (context.reassignAfterTakeoverDelay()) {
            reassign();
        }
        home.refuseExpired();
        entry.tick();
        exchange.tick();
    }

    @Override
    public DecisionStatus status() {
        return DecisionStatusFactory.create(context, home, peers);
    }
}
