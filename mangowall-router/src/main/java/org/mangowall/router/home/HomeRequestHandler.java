package org.mangowall.router.home;

import java.time.Duration;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;

import org.mangowall.inventory.Inventory;
import org.mangowall.inventory.Runner;
import org.mangowall.inventory.Service;
import org.mangowall.kernel.failure.FailureCode;
import org.mangowall.kernel.name.RequestIdentifier;
import org.mangowall.kernel.name.RouterName;
import org.mangowall.kernel.name.RunnerName;
import org.mangowall.policy.ReleaseReason;
import org.mangowall.policy.RequestDescription;
import org.mangowall.policy.RunnerOutcome;
import org.mangowall.policy.event.DecisionEvent;
import org.mangowall.protocol.MessageType;
import org.mangowall.protocol.PeerMessage;
import org.mangowall.router.caller.EntryRequest;
import org.mangowall.router.caller.EntryRequestHandler;
import org.mangowall.router.decision.DecisionSink;
import org.mangowall.router.metrics.RouterMetrics;
import org.mangowall.router.peer.PeerConnection;
import org.mangowall.router.runner.AnswerSink;
import org.mangowall.router.runner.RequestContent;
import org.mangowall.router.runner.RunnerCall;
import org.mangowall.router.runner.RunnerCallListener;
import org.mangowall.router.runner.RunnerClient;

/** Keeps track of the requests for which this router is the home router, and of their calls to runners. */
public final class HomeRequestHandler {

    private final EntryRequestHandler entryRequestHandler;
    private final RunnerClient runnerClient;
    private final DecisionSink decisions;
    private final RouterMetrics metrics;
    private final Supplier<Inventory> inventory;
    private final Map<RequestIdentifier, RemoteRequest> remoteRequests = new ConcurrentHashMap<>();
    private final Map<RequestIdentifier, RunnerCall> runnerCalls = new ConcurrentHashMap<>();

    private record RemoteRequest(RequestContent content, PeerConnection connection, RemoteAnswerSink answer) {}

    /** Creates a handler without open requests. */
    public HomeRequestHandler(
            EntryRequestHandler entryRequestHandler,
            RunnerClient runnerClient,
            DecisionSink decisions,
            RouterMetrics metrics,
            Supplier<Inventory> inventory) {
        this.entryRequestHandler = entryRequestHandler;
        this.runnerClient = runnerClient;
        this.decisions = decisions;
        this.metrics = metrics;
        this.inventory = inventory;
    }

    /** Returns the number of open requests that came from other entry routers. */
    public int openRequests() {
        return remoteRequests.size();
    }

    /** Accepts a request from an entry router, or refuses it when the decision core is overloaded. */
    public void handleForwardRequest(PeerConnection connection, PeerMessage.ForwardRequest message) {
        RequestIdentifier identifier = message.description().identifier();
        RequestContent content =
                new RequestContent(message.method(), message.path(), message.headers(), message.body());
        RemoteAnswerSink answer = new RemoteAnswerSink(identifier, connection);
        if (remoteRequests.putIfAbsent(identifier, new RemoteRequest(content, connection, answer)) != null) {
            metrics.lateFrameDropped(MessageType.FORWARD_REQUEST);
            return;
        }
        connection.requestOpened();
        if (!decisions.offer(new DecisionEvent.RequestPassed(message.description()))) {
            refuse(identifier, FailureCode.ROUTER_BUSY, Duration.ofSeconds(1));
        }
    }

    /** Cancels a request when its entry router asks for it. */
    public void handleCancelRequest(PeerConnection connection, PeerMessage.CancelRequest message) {
        RemoteRequest request = remoteRequests.get(message.request());
        if (request == null || request.connection() != connection) {
            metrics.lateFrameDropped(MessageType.CANCEL_REQUEST);
            return;
        }
        cancelRemoteRequest(message.request());
    }

    private void cancelRemoteRequest(RequestIdentifier identifier) {
        decisions.post(new DecisionEvent.RequestCancelled(identifier));
        RemoteRequest request = removeRemoteRequest(identifier);
        RunnerCall call = runnerCalls.get(identifier);
        if (request != null) {
            request.answer().close();
        }
        if (call != null) {
            call.resumeIfReady();
        }
    }

    /** Advances the flow-control window of an answer after its caller has taken more of it. */
    public void handleAnswerFlow(PeerConnection connection, PeerMessage.AnswerFlow message) {
        RemoteRequest request = remoteRequests.get(message.request());
        RunnerCall call = runnerCalls.get(message.request());
        if (request == null || request.connection() != connection) {
            metrics.lateFrameDropped(MessageType.ANSWER_FLOW);
            return;
        }
        request.answer().updateTakenBytes(message.takenBytes());
        if (call != null) {
            call.resumeIfReady();
        }
    }

    /** Resumes the answers on a connection that has become writable again. */
    public void writabilityChanged(PeerConnection connection) {
        if (!connection.isWritable()) {
            return;
        }
        remoteRequests.forEach((identifier, request) -> {
            RunnerCall call = runnerCalls.get(identifier);
            if (request.connection() == connection && call != null) {
                call.resumeIfReady();
            }
        });
    }

    /** Cancels the requests of a closed connection, since nobody waits for their answers any more. */
    public void disconnected(PeerConnection connection) {
        remoteRequests.forEach((identifier, request) -> {
            if (request.connection() == connection) {
                cancelRemoteRequest(identifier);
            }
        });
    }

    /** Sends a request to a runner; posts the end of its answer at once when that is impossible. */
    public void sendToRunner(RequestDescription description, RunnerName runnerName) {
        RequestIdentifier identifier = description.identifier();
        Optional<Runner> runner = inventory.get().runner(runnerName);
        Optional<Service> service = inventory.get().service(description.service());
        if (runner.isEmpty() || service.isEmpty()) {
            decisions.post(new DecisionEvent.AnswerEnded(identifier, RunnerOutcome.NOT_SENT, 0));
            return;
        }
        RemoteRequest remote = remoteRequests.get(identifier);
        EntryRequest local = entryRequestHandler.find(identifier);
        if (remote != null) {
            startCall(runner.get(), service.get(), description, remote.content(), remote.answer());
        } else if (local != null) {
            startLocalCall(runner.get(), service.get(), description, local);
        } else {
            decisions.post(new DecisionEvent.AnswerEnded(identifier, RunnerOutcome.CANCELLED, 0));
        }
    }

    private void startLocalCall(Runner runner, Service service, RequestDescription description, EntryRequest local) {
        RequestContent content = local.content();
        if (content == null) {
            decisions.post(new DecisionEvent.AnswerEnded(description.identifier(), RunnerOutcome.CANCELLED, 0));
            return;
        }
        LocalAnswerSink answer = new LocalAnswerSink(local);
        local.bind(answer);
        answer.setCall(startCall(runner, service, description, content, answer));
    }

    private RunnerCall startCall(
            Runner runner, Service service, RequestDescription description, RequestContent content, AnswerSink sink) {
        RunnerCallEvents events = new RunnerCallEvents(description);
        RunnerCall call = runnerClient.send(runner, service, description, content, sink, events);
        events.started(call);
        return call;
    }

    /** Cancels the runner call of a request. */
    public void cancelAtRunner(RequestIdentifier request) {
        RunnerCall call = runnerCalls.get(request);
        if (call != null) {
            call.cancel();
        }
    }

    /** Returns a request to its entry router. */
    public void release(RequestDescription description, ReleaseReason reason, Optional<RouterName> moveTo) {
        RemoteRequest request = removeRemoteRequest(description.identifier());
        if (request != null) {
            request.connection().send(new PeerMessage.ReleaseRequest(description, reason, moveTo));
        }
    }

    /** Ends a request of another entry router with a failure. */
    public void refuse(RequestIdentifier identifier, FailureCode code, Duration retryAfter) {
        RemoteRequest request = removeRemoteRequest(identifier);
        if (request != null) {
            request.connection().send(new PeerMessage.RefusalNotice(identifier, code, retryAfter.toMillis()));
        }
    }

    private RemoteRequest removeRemoteRequest(RequestIdentifier identifier) {
        RemoteRequest request = remoteRequests.remove(identifier);
        if (request != null) {
            request.connection().requestClosed();
        }
        return request;
    }

    /** Posts the events of one runner call to the decision core. */
    private final class RunnerCallEvents implements RunnerCallListener {

        private final RequestDescription description;
        private boolean ended;

        RunnerCallEvents(RequestDescription description) {
            this.description = description;
        }

        synchronized void started(RunnerCall call) {
            if (!ended) {
                runnerCalls.put(description.identifier(), call);
            }
        }

        @Override
        public void answerBegan() {
            decisions.post(new DecisionEvent.AnswerBegan(description.identifier()));
        }

        @Override
        public void costIncreased(double costSoFar) {
            decisions.offer(new DecisionEvent.AnswerProgressed(description.identifier(), costSoFar));
        }

        @Override
        public void ended(RunnerOutcome outcome, double cost) {
            RequestIdentifier identifier = description.identifier();
            synchronized (this) {
                ended = true;
                runnerCalls.remove(identifier);
            }
            metrics.runnerAttemptEnded(
                    description.service().value(), outcome.name().toLowerCase(Locale.ROOT));
            if (outcome == RunnerOutcome.COMPLETED) {
                removeRemoteRequest(identifier);
            } else if (outcome == RunnerOutcome.CANCELLED) {
                refuse(identifier, FailureCode.RUNNER_CONNECTION_LOST, Duration.ZERO);
            }
            decisions.post(new DecisionEvent.AnswerEnded(identifier, outcome, cost));
        }
    }
}
