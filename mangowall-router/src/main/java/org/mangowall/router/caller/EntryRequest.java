package org.mangowall.router.caller;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import org.mangowall.kernel.failure.FailureCode;
import org.mangowall.kernel.failure.RequestOutcome;
import org.mangowall.kernel.log.ComponentLog;
import org.mangowall.kernel.name.RunnerName;
import org.mangowall.policy.RequestDescription;
import org.mangowall.policy.event.DecisionEvent;
import org.mangowall.protocol.HeaderField;
import org.mangowall.protocol.MessageType;
import org.mangowall.protocol.StoredResponse;
import org.mangowall.router.peer.PeerConnection;
import org.mangowall.router.runner.AnswerOrigin;
import org.mangowall.router.runner.RequestContent;

/**
 * One request of a caller of this router, from its arrival to the end of its answer.
 *
 * <p>It accepts an answer only from the origin to which it was bound last; parts from any other origin are late or
 * misdirected, and are dropped. Everything that writes to the caller runs on the event loop of the caller's connection.
 */
public final class EntryRequest {

    private static final ComponentLog LOG = ComponentLog.of("entry");
    private static final long MAXIMUM_UNSENT_BYTES = 4L * 1024 * 1024;

    private final EntryRequestHandler requestHandler;
    private final RequestDescription description;
    private final CallerExchange exchange;
    private final Optional<RequestClaim> claim;
    private final int bodyBytes;
    private final long arrivedNanos = System.nanoTime();
    private volatile RequestContent content;
    private volatile AnswerOrigin origin;
    private long answerBytes;
    private long deliveredBytes;
    private long reportedBytes;
    private volatile boolean ended;

    EntryRequest(
            EntryRequestHandler requestHandler,
            RequestDescription description,
            RequestContent content,
            CallerExchange exchange,
            Optional<RequestClaim> claim) {
        this.requestHandler = requestHandler;
        this.description = description;
        this.content = content;
        this.bodyBytes = content.body().length;
        this.exchange = exchange;
        this.claim = claim;
    }

    /** Returns the description that decisions are based on. */
    public RequestDescription description() {
        return description;
    }

    /** Returns the content that is forwarded to the runner; null once the answer has begun. */
    public RequestContent content() {
        return content;
    }

    int bodyBytes() {
        return bodyBytes;
    }

    /** Whether the request has ended for the caller. */
    public boolean isEnded() {
        return ended;
    }

    /** Accepts the answer from the given origin from now on, and no longer from the previous one. */
    public synchronized void bind(AnswerOrigin newOrigin) {
        if (ended) {
            return;
        }
        AnswerOrigin previous = origin;
        origin = newOrigin;
        if (previous instanceof PeerConnection connection) {
            connection.requestClosed();
        }
        if (newOrigin instanceof PeerConnection connection) {
            connection.requestOpened();
        }
    }

    /** Removes the binding to a home that released the request; false when the request is bound elsewhere. */
    public synchronized boolean unbind(PeerConnection connection) {
        if (origin != connection) {
            return false;
        }
        origin = null;
        connection.requestClosed();
        return true;
    }

    /** Whether the answer is accepted from the given origin. */
    public boolean isBoundTo(AnswerOrigin other) {
        return origin == other;
    }

    private void runOnEventLoop(Runnable task) {
        if (exchange.channel().eventLoop().inEventLoop()) {
            runGuarded(task);
            return;
        }
        exchange.channel().eventLoop().execute(() -> runGuarded(task));
    }

    /** Ends the request when its answer can't be written, for example because of a malformed header field. */
    private void runGuarded(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException failure) {
            LOG.error(failure, "can't write the answer to request %s", description.identifier());
            if (!ended) {
                failNow(FailureCode.RUNNER_ANSWER_INVALID, Duration.ZERO);
            }
        }
    }

    /** Whether a part of an answer must be dropped because the request ended or is bound elsewhere; counts it if so. */
    private boolean isLate(AnswerOrigin from, MessageType type) {
        if (ended || origin != from) {
            requestHandler.metrics().lateFrameDropped(type);
            return true;
        }
        return false;
    }

    /** Begins the answer. */
    public void answerHead(AnswerOrigin from, RunnerName runner, int status, List<HeaderField> headers) {
        runOnEventLoop(() -> {
            if (isLate(from, MessageType.ANSWER_HEAD) || exchange.hasAnswerBegun()) {
                return;
            }
            content = null;
            claim.ifPresent(requestClaim -> requestClaim.recordHead(status, headers));
            exchange.writeHead(description.identifier().toString(), runner.value(), status, headers);
            requestHandler
                    .metrics()
                    .firstByteSent(description.service().value(), (System.nanoTime() - arrivedNanos) / 1e9);
            requestHandler.decisions().post(new DecisionEvent.CallerAnswerBegan(description.identifier()));
        });
    }

    /** Appends a part of the answer's body. */
    public void answerBody(AnswerOrigin from, byte[] bytes) {
        runOnEventLoop(() -> {
            if (isLate(from, MessageType.ANSWER_BODY)) {
                return;
            }
            if (!exchange.hasAnswerBegun()) {
                failNow(FailureCode.RUNNER_ANSWER_INVALID, Duration.ZERO);
                return;
            }
            answerBytes += bytes.length;
            claim.ifPresent(requestClaim -> requestClaim.recordBody(bytes));
            exchange.writeBody(bytes, () -> delivered(from, bytes.length));
            if (exchange.channel().bytesBeforeWritable() > MAXIMUM_UNSENT_BYTES) {
                LOG.warn(
                        "closing the connection of request %s: its caller does not read and its home keeps sending",
                        description.identifier());
                requestHandler.callerDisconnected(this);
                exchange.channel().close();
            }
        });
    }

    /** Counts bytes written to the caller and reports them to the origin each quarter window, so that it sends more. */
    private void delivered(AnswerOrigin from, int bytes) {
        deliveredBytes += bytes;
        if (origin == from && deliveredBytes - reportedBytes >= AnswerOrigin.WINDOW_BYTES / 4) {
            reportedBytes = deliveredBytes;
            from.updateTakenBytes(description.identifier(), deliveredBytes);
        }
    }

    /** Completes the answer, or fails the request when the body's length differs from what the origin sent. */
    public void answerEnd(AnswerOrigin from, long expectedBytes) {
        runOnEventLoop(() -> {
            if (isLate(from, MessageType.ANSWER_END)) {
                return;
            }
            if (!exchange.hasAnswerBegun() || answerBytes != expectedBytes) {
                failNow(FailureCode.RUNNER_ANSWER_INVALID, Duration.ZERO);
                return;
            }
            finish(RequestOutcome.COMPLETE, "none");
            claim.ifPresent(RequestClaim::settleCompleted);
            exchange.end();
        });
    }

    /** Ends the request with a failure that its origin reported. */
    public void handleRefusal(AnswerOrigin from, FailureCode code, Duration retryAfter) {
        runOnEventLoop(() -> {
            if (!isLate(from, MessageType.REFUSAL_NOTICE)) {
                failNow(code, retryAfter);
            }
        });
    }

    /** Ends the request with a failure of this router. */
    public void refuse(FailureCode code, Duration retryAfter) {
        runOnEventLoop(() -> {
            if (!ended) {
                failNow(code, retryAfter);
            }
        });
    }

    private void failNow(FailureCode code, Duration retryAfter) {
        FailureCode reported = exchange.hasAnswerBegun() && code.outcome() == RequestOutcome.NOT_RUN
                ? FailureCode.RUNNER_CONNECTION_LOST
                : code;
        finish(reported.outcome(), reported.code());
        claim.ifPresent(requestClaim -> requestClaim.settleFailed(reported.outcome()));
        exchange.fail(new Problem(
                reported,
                "the request ended with " + reported.code(),
                retryAfter,
                Optional.of(description.identifier().toString())));
    }

    /** Answers with the stored answer of an earlier request with the same idempotency key. */
    void replay(StoredResponse answer) {
        runOnEventLoop(() -> {
            if (ended) {
                return;
            }
            finish(RequestOutcome.COMPLETE, "replayed");
            exchange.writeHead(description.identifier().toString(), "none", answer.status(), answer.headers());
            exchange.writeBody(answer.body(), () -> {});
            exchange.end();
        });
    }

    /** Abandons the request because the caller disconnected. */
    void callerDisconnected() {
        runOnEventLoop(() -> {
            if (!ended) {
                requestHandler.callerDisconnected(this);
            }
        });
    }

    void abandon() {
        finish(RequestOutcome.UNKNOWN, FailureCode.CALLER_GONE.code());
        claim.ifPresent(requestClaim -> requestClaim.settleFailed(RequestOutcome.UNKNOWN));
    }

    private void finish(RequestOutcome outcome, String code) {
        AnswerOrigin last = releaseOrigin();
        if (last instanceof PeerConnection connection) {
            connection.requestClosed();
        } else if (last != null) {
            last.updateTakenBytes(description.identifier(), deliveredBytes);
        }
        requestHandler.requestEnded(this, outcome, code);
    }

    private synchronized AnswerOrigin releaseOrigin() {
        AnswerOrigin last = origin;
        ended = true;
        content = null;
        origin = null;
        return last;
    }
}
