package org.mangowall.router;

import java.time.Duration;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;

import org.mangowall.kernel.log.ComponentLog;
import org.mangowall.kernel.name.RequestIdentifier;
import org.mangowall.policy.event.DecisionEvent;
import org.mangowall.protocol.MessageType;
import org.mangowall.protocol.PeerMessage;
import org.mangowall.router.caller.EntryRequest;
import org.mangowall.router.caller.EntryRequestHandler;
import org.mangowall.router.decision.DecisionSink;
import org.mangowall.router.home.HomeRequestHandler;
import org.mangowall.router.metrics.RouterMetrics;
import org.mangowall.router.peer.PeerConnection;
import org.mangowall.router.peer.PeerListener;
import org.mangowall.router.spi.ControlPlane;

/** Dispatches the messages of other routers to the components that handle them. */
final class PeerDispatcher implements PeerListener {

    private static final ComponentLog LOG = ComponentLog.of("peer");

    private final EntryRequestHandler entryRequestHandler;
    private final HomeRequestHandler homeRequestHandler;
    private final DecisionSink decisions;
    private final RouterMetrics metrics;
    private final Supplier<ControlPlane> control;
    private final Set<PeerConnection> acceptedConnections = ConcurrentHashMap.newKeySet();

    PeerDispatcher(
            EntryRequestHandler entryRequestHandler,
            HomeRequestHandler homeRequestHandler,
            DecisionSink decisions,
            RouterMetrics metrics,
            Supplier<ControlPlane> control) {
        this.entryRequestHandler = entryRequestHandler;
        this.homeRequestHandler = homeRequestHandler;
        this.decisions = decisions;
        this.metrics = metrics;
        this.control = control;
    }

    @Override
    public void connected(PeerConnection connection) {
        LOG.info("connected to %s", connection);
        if (!connection.isOutgoing()) {
            acceptedConnections.add(connection);
        }
    }

    @Override
    public void received(PeerConnection connection, PeerMessage message) {
        switch (message) {
            case PeerMessage.ForwardRequest forward -> homeRequestHandler.handleForwardRequest(connection, forward);
            case PeerMessage.CancelRequest cancel -> homeRequestHandler.handleCancelRequest(connection, cancel);
            case PeerMessage.AnswerFlow flow -> homeRequestHandler.handleAnswerFlow(connection, flow);
            case PeerMessage.ReleaseRequest release -> handleRelease(connection, release);
            case PeerMessage.AnswerHead head -> {
                EntryRequest request = findEntryRequest(head.request(), MessageType.ANSWER_HEAD);
                if (request != null) {
                    request.answerHead(connection, head.runner(), head.status(), head.headers());
                }
            }
            case PeerMessage.AnswerBody body -> {
                EntryRequest request = findEntryRequest(body.request(), MessageType.ANSWER_BODY);
                if (request != null) {
                    request.answerBody(connection, body.bytes());
                }
            }
            case PeerMessage.AnswerEnd end -> {
                EntryRequest request = findEntryRequest(end.request(), MessageType.ANSWER_END);
                if (request != null) {
                    request.answerEnd(connection, end.bodyBytes());
                }
            }
            case PeerMessage.RefusalNotice refusal -> {
                EntryRequest request = findEntryRequest(refusal.request(), MessageType.REFUSAL_NOTICE);
                if (request != null) {
                    request.handleRefusal(connection, refusal.code(), Duration.ofMillis(refusal.retryAfterMillis()));
                }
            }
            default -> handleControlMessage(connection, message);
        }
    }

    private void handleControlMessage(PeerConnection connection, PeerMessage message) {
        switch (message) {
            case PeerMessage.Exchange exchange ->
                decisions.offer(new DecisionEvent.ExchangeReceived(exchange.exchange()));
            case PeerMessage.PullRequests pull ->
                decisions.offer(new DecisionEvent.PullReceived(
                        connection.remoteHello().router(), pull.service(), pull.slots(), pull.belowTag()));
            case PeerMessage.CountersAsk ask ->
                decisions.offer(new DecisionEvent.CountersRequested(
                        connection.remoteHello().router()));
            case PeerMessage.Counters counters ->
                decisions.offer(new DecisionEvent.CountersReceived(counters.snapshot()));
            default ->
                control.get()
                        .messageReceived(
                                connection.remoteHello().router(),
                                connection.remoteHello().incarnation(),
                                message);
        }
    }

    /** Returns the open request, or null after counting the frame as late. */
    private EntryRequest findEntryRequest(RequestIdentifier identifier, MessageType type) {
        EntryRequest request = entryRequestHandler.find(identifier);
        if (request == null) {
            metrics.lateFrameDropped(type);
        }
        return request;
    }

    private void handleRelease(PeerConnection connection, PeerMessage.ReleaseRequest release) {
        RequestIdentifier identifier = release.description().identifier();
        EntryRequest request = findEntryRequest(identifier, MessageType.RELEASE_REQUEST);
        if (request == null) {
            return;
        }
        if (!request.unbind(connection)) {
            metrics.lateFrameDropped(MessageType.RELEASE_REQUEST);
            return;
        }
        decisions.post(new DecisionEvent.RequestReleased(
                identifier,
                connection.remoteHello().router(),
                release.reason(),
                release.description(),
                release.moveTo()));
    }

    @Override
    public void writabilityChanged(PeerConnection connection) {
        homeRequestHandler.writabilityChanged(connection);
    }

    @Override
    public void disconnected(PeerConnection connection) {
        PeerMessage.Hello remote = connection.remoteHello();
        if (remote == null) {
            return;
        }
        acceptedConnections.remove(connection);
        homeRequestHandler.disconnected(connection);
        if (entryRequestHandler.hasRequestBoundTo(connection)) {
            LOG.warn("lost the connection to %s while requests depended on it", connection);
            decisions.post(new DecisionEvent.PeerLost(remote.router(), remote.incarnation()));
            closeAccepted(remote);
        }
    }

    /** Closes the connections that a lost router opened, so that it does not wait for requests dropped here. */
    private void closeAccepted(PeerMessage.Hello lost) {
        for (PeerConnection connection : acceptedConnections) {
            if (connection.remoteHello().router().equals(lost.router())) {
                connection.close();
            }
        }
    }
}
