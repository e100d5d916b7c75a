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

/** The decision core of every policy: hands each event to the role that it concerns, then sends what may be sent. */
public final class FleetDecisionCore implements DecisionCore {

    private final CoreContext context;
    private final PeerBook peers = new PeerBook();
    private final HomeRole home;
    private final EntryRole entry;
    private final AnswerTracker answers;
    private final PullRole pulls;
    private final ExchangeRole exchange;
    private boolean countersAsked;

    /** Makes the core of one router. */
    public FleetDecisionCore(RouterIdentity identity, Clock clock, long seed, PolicyTraits traits) {
        this.context = new CoreContext(identity, clock, seed, traits);
        Accounting accounting = new Accounting(context, peers);
        this.home = new HomeRole(context, accounting);
        this.entry = new EntryRole(context, home, new HomeChooser(context, peers, home));
        this.answers = new AnswerTracker(context, home, accounting);
        this.pulls = new PullRole(context, home, peers);
        this.exchange = new ExchangeRole(context, home, peers, pulls);
        home.connect(entry::released);
    }

    @Override
    public List<DecisionAction> handle(DecisionEvent event) {
        switch (event) {
            case DecisionEvent.ConfigurationChanged changed -> install(changed.inventory());
            case DecisionEvent.FleetChanged changed -> install(changed.view());
            case DecisionEvent.CallerArrived arrived -> entry.arrive(arrived.request());
            case DecisionEvent.CallerDisconnected left -> entry.callerLeft(left.request());
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
                pulls.passed(passed.request());
                home.accept(passed.request());
            }
            case DecisionEvent.RequestCancelled cancelled -> home.cancel(cancelled.request());
            case DecisionEvent.AnswerBegan began -> answers.began(began.request());
            case DecisionEvent.AnswerProgressed progressed ->
                answers.progressed(progressed.request(), progressed.costSoFar());
            case DecisionEvent.AnswerEnded ended -> answers.ended(ended.request(), ended.outcome(), ended.cost());
            case DecisionEvent.RunnerReported reported -> home.reported(reported.report());
            case DecisionEvent.ExchangeReceived received -> exchange.received(received.exchange());
            case DecisionEvent.PullReceived pull ->
                pulls.received(pull.from(), pull.service(), pull.slots(), pull.belowTag());
            case DecisionEvent.CountersRequested asked -> exchange.answerCounters(asked.from());
            case DecisionEvent.CountersReceived received -> exchange.received(received.snapshot());
            case DecisionEvent.PeerLost lost -> {
                peers.forget(lost.router());
                home.peerLost(lost.router(), lost.incarnation());
                entry.peerLost(lost.router(), lost.incarnation());
            }
            case DecisionEvent.LeaveBegan began -> leave();
            case DecisionEvent.ClockTicked ticked -> tick();
        }
        return settle();
    }

    private List<DecisionAction> settle() {
        for (ServiceState service : home.takeTouched()) {
            int dispatched = home.dispatch(service);
            pulls.consider(service, dispatched);
            exchange.afterChange(service);
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
        if (!countersAsked && view.members().size() > 1) {
            countersAsked = true;
            exchange.askForCounters();
        }
        reassign();
    }

    private void leave() {
        context.leave();
        reassign();
    }

    private void reassign() {
        home.touchAll();
        home.reassign();
        exchange.reassign();
        entry.placeParked();
    }

    private void tick() {
        if (context.assignAfterWait()) {
            reassign();
        }
        home.expire();
        entry.tick();
        exchange.tick();
    }

    @Override
    public DecisionStatus status() {
        return StatusReport.of(context, home, peers);
    }
}
