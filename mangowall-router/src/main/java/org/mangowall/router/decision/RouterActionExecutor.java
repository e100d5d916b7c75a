package org.mangowall.router.decision;

import java.time.Clock;
import java.util.Optional;

import org.mangowall.kernel.name.RouterName;
import org.mangowall.policy.ReleaseReason;
import org.mangowall.policy.RequestDescription;
import org.mangowall.policy.RouterIdentity;
import org.mangowall.policy.action.DecisionAction;
import org.mangowall.policy.event.DecisionEvent;
import org.mangowall.protocol.PeerMessage;
import org.mangowall.router.caller.EntryRequest;
import org.mangowall.router.caller.EntryRequestHandler;
import org.mangowall.router.home.HomeRequestHandler;
import org.mangowall.router.peer.PeerNetwork;
import org.mangowall.router.runner.RequestContent;

/** Executes the actions of the decision core: messages to peers, and calls to the entry and home roles. */
public final class RouterActionExecutor implements ActionExecutor {

    private final RouterIdentity identity;
    private final EntryRequestHandler entryRequestHandler;
    private final HomeRequestHandler homeRequestHandler;
    private final PeerNetwork peers;
    private final DecisionSink decisions;
    private final DecisionRecorder recorder;

    /** Creates the executor of one router. */
    public RouterActionExecutor(
            RouterIdentity identity,
            EntryRequestHandler entryRequestHandler,
            HomeRequestHandler homeRequestHandler,
            PeerNetwork peers,
            DecisionSink decisions,
            Clock clock,
            DecisionRecords records) {
        this.identity = identity;
        this.entryRequestHandler = entryRequestHandler;
        this.homeRequestHandler = homeRequestHandler;
        this.peers = peers;
        this.decisions = decisions;
        this.recorder = new DecisionRecorder(identity, clock, records);
    }

    @Override
    public void execute(DecisionAction action) {
        switch (action) {
            case DecisionAction.PassToHome pass -> passToHome(pass);
            case DecisionAction.SendToRunner send -> {
                recorder.sent(send.request(), send.runner(), send.reason());
                homeRequestHandler.sendToRunner(send.request(), send.runner());
            }
            case DecisionAction.RefuseRequest refuse -> refuse(refuse);
            case DecisionAction.ReleaseToEntry release -> {
                recorder.released(release.request(), release.reason());
                homeRequestHandler.release(release.request(), release.reason(), release.moveTo());
            }
            case DecisionAction.CancelAtHome cancel ->
                peers.send(cancel.home(), new PeerMessage.CancelRequest(cancel.request()));
            case DecisionAction.CancelAtRunner cancel -> homeRequestHandler.cancelAtRunner(cancel.request());
            case DecisionAction.SendExchange exchange ->
                peers.send(exchange.to(), new PeerMessage.Exchange(exchange.exchange()));
            case DecisionAction.SendPull pull ->
                peers.send(
                        pull.to(), new PeerMessage.PullRequests(pull.service(), pull.slots(), pull.belowVirtualTime()));
            case DecisionAction.RequestCounters request -> peers.send(request.to(), new PeerMessage.CountersAsk());
            case DecisionAction.SendCounters counters ->
                peers.send(counters.to(), new PeerMessage.Counters(counters.snapshot()));
        }
    }

    private void passToHome(DecisionAction.PassToHome pass) {
        RequestDescription description = pass.request();
        EntryRequest request = entryRequestHandler.find(description.identifier());
        RequestContent content = request == null ? null : request.content();
        if (content == null) {
            return;
        }
        recorder.routed(description, pass.home(), pass.reason());
        PeerMessage message = new PeerMessage.ForwardRequest(
                description, content.method(), content.path(), content.headers(), content.body());
        peers.send(pass.home(), message, request::bind, () -> postNotSent(description, pass.home()));
    }

    private void postNotSent(RequestDescription description, RouterName home) {
        decisions.post(new DecisionEvent.RequestReleased(
                description.identifier(),
                home,
                ReleaseReason.NOT_SENT,
                description.afterMove(description.waited()),
                Optional.empty()));
    }

    private void refuse(DecisionAction.RefuseRequest refuse) {
        recorder.refused(refuse.request(), refuse.code().code());
        boolean ownRequest = refuse.request().entry().equals(identity.name())
                && refuse.request().incarnation() == identity.incarnation();
        if (!ownRequest) {
            homeRequestHandler.refuse(refuse.request(), refuse.code(), refuse.retryAfter());
            return;
        }
        EntryRequest request = entryRequestHandler.find(refuse.request());
        if (request != null) {
            request.refuse(refuse.code(), refuse.retryAfter());
        }
    }
}
