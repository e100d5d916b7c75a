package org.mangowall.router.caller;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import org.mangowall.kernel.failure.FailureCode;
import org.mangowall.kernel.failure.RequestOutcome;
import org.mangowall.kernel.log.PartLog;
import org.mangowall.kernel.name.RunnerName;
import org.mangowall.policy.RequestDescription;
import org.mangowall.policy.event.DecisionEvent;
import org.mangowall.protocol.HeaderField;
import org.mangowall.protocol.MessageType;
import org.mangowall.protocol.StoredAnswer;
import org.mangowall.router.peer.PeerConnection;
import org.mangowall.router.runner.AnswerOrigin;
import org.mangowall.router.runner.RequestContent;

/**
 * One request of a caller of this router, from its arrival to the end of its answer.
 *
 * <p>It takes an answer only from the origin to which it was bound last; everything else is late or crossed, and is
 * dropped. What touches the caller runs on the thread of the caller's connection.
 */
public final class EntryRequest {

    private static final PartLog LOG = PartLog.of("entry");
    private static final long MAXIMUM_UNSENT_BYTES = 4L * 1024 * 1024;

    private final EntryRequestHandler desk;
    private final RequestDescription description;
    private final CallerExchange exchange;
    private final Optional<ClaimHold> claim;
    private final int bodyBytes;
    private final long arrivedNanos = System.nanoTime();
    private volatile RequestContent content;
    private volatile AnswerOrigin origin;
    private long answerBytes;
    private long takenBytes;
    private long reportedBytes;
    private volatile boolean ended;

    EntryRequest(
            EntryRequestHandler desk,
            RequestDescription description,
            RequestContent content,
            CallerExchange exchange,
            Optional<ClaimHold> claim) {
        this.desk = desk;
        this.description = description;
        this.content = content;
        this.bodyBytes = content.body().length;
        this.exchange = exchange;
        this.claim = claim;
    }

    /** The request. */
    public RequestDescription description() {
        return description;
    }

    /** What the runner gets; null when the answer has begun. */
    public RequestContent content() {
        return content;
    }

    int bodyBytes() {
        return bodyBytes;
    }

    /** Whether it is over for the caller. */
    public boolean isEnded() {
        return ended;
    }

    /** Says where the answer is to come from now. */
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

    /** Ends the bond with a home that gave the request back; false when it is bound to another one. */
    public synchronized boolean unbind(PeerConnection connection) {
        if (origin != connection) {
            return false;
        }
        origin = null;
        connection.requestClosed();
        return true;
    }

    /** Whether the answer is to come from there. */
    public boolean isBoundTo(AnswerOrigin other) {
        return origin == other;
    }

    private void run(Runnable step) {
        if (exchange.channel().eventLoop().inEventLoop()) {
            runGuarded(step);
            return;
        }
        exchange.channel().eventLoop().execute(() -> runGuarded(step));
    }

    /** An answer that can't be written, such as one with a malformed header field, still ends the request. */
    private void runGuarded(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException failure) {
            LOG.error(failure, "the answer of request %s can't be passed on", description.identifier());
            if (!ended) {
                failNow(FailureCode.RUNNER_ANSWER_INVALID, Duration.ZERO);
            }
        }
    }

    private boolean isLate(AnswerOrigin from, MessageType type) {
        if (ended || origin != from) {
            desk.metrics().lateFrame(type);
            return true;
        }
        return false;
    }

    /** The answer begins. */
    public void answerHead(AnswerOrigin from, RunnerName runner, int status, List<HeaderField> headers) {
        run(() -> {
            if (isLate(from, MessageType.ANSWER_HEAD) || exchange.hasAnswerBegun()) {
                return;
            }
            content = null;
            claim.ifPresent(hold -> hold.head(status, headers));
            exchange.head(description.identifier().toString(), runner.value(), status, headers);
            desk.metrics().firstByte(description.service().value(), (System.nanoTime() - arrivedNanos) / 1e9);
            desk.decisions().post(new DecisionEvent.CallerAnswerBegan(description.identifier()));
        });
    }

    /** A piece of the answer's body. */
    public void answerBody(AnswerOrigin from, byte[] bytes) {
        run(() -> {
            if (isLate(from, MessageType.ANSWER_BODY)) {
                return;
            }
            if (!exchange.hasAnswerBegun()) {
                failNow(FailureCode.RUNNER_ANSWER_INVALID, Duration.ZERO);
                return;
            }
            answerBytes += bytes.length;
            claim.ifPresent(hold -> hold.body(bytes));
            exchange.body(bytes, () -> taken(from, bytes.length));
            if (exchange.channel().bytesBeforeWritable() > MAXIMUM_UNSENT_BYTES) {
                LOG.warn("request %s is cut, its caller takes nothing and its home goes on", description.identifier());
                desk.left(this);
                exchange.channel().close();
            }
        });
    }

    /** Bytes went out to the caller; the origin is told now and then, so that it can go on. */
    private void taken(AnswerOrigin from, int bytes) {
        takenBytes += bytes;
        if (origin == from && takenBytes - reportedBytes >= AnswerOrigin.WINDOW_BYTES / 4) {
            reportedBytes = takenBytes;
            from.updateTakenBytes(description.identifier(), takenBytes);
        }
    }

    /** The answer is whole, if its length is that which the home counted. */
    public void answerEnd(AnswerOrigin from, long expectedBytes) {
        run(() -> {
            if (isLate(from, MessageType.ANSWER_END)) {
                return;
            }
            if (!exchange.hasAnswerBegun() || answerBytes != expectedBytes) {
                failNow(FailureCode.RUNNER_ANSWER_INVALID, Duration.ZERO);
                return;
            }
            finish(RequestOutcome.COMPLETE, "none");
            claim.ifPresent(ClaimHold::completed);
            exchange.end();
        });
    }

    /** A home ended the request with a failure. */
    public void refused(AnswerOrigin from, FailureCode code, Duration retryAfter) {
        run(() -> {
            if (!isLate(from, MessageType.REFUSAL_NOTICE)) {
                failNow(code, retryAfter);
            }
        });
    }

    /** This router ended the request with a failure. */
    public void refuse(FailureCode code, Duration retryAfter) {
        run(() -> {
            if (!ended) {
                failNow(code, retryAfter);
            }
        });
    }

    private void failNow(FailureCode code, Duration retryAfter) {
        FailureCode shown = exchange.hasAnswerBegun() && code.outcome() == RequestOutcome.NOT_RUN
                ? FailureCode.RUNNER_CONNECTION_LOST
                : code;
        finish(shown.outcome(), shown.code());
        claim.ifPresent(hold -> hold.failed(shown.outcome()));
        exchange.fail(new Problem(
                shown,
                "the request ended with " + shown.code(),
                retryAfter,
                Optional.of(description.identifier().toString())));
    }

    /** An answer kept from an earlier request with the same idempotency key. */
    void replay(StoredAnswer answer) {
        run(() -> {
            if (ended) {
                return;
            }
            finish(RequestOutcome.COMPLETE, "replayed");
            exchange.head(description.identifier().toString(), "none", answer.status(), answer.headers());
            exchange.body(answer.body(), () -> {});
            exchange.end();
        });
    }

    /** The caller went away. */
    void callerLeft() {
        run(() -> {
            if (!ended) {
                desk.left(this);
            }
        });
    }

    void leave() {
        finish(RequestOutcome.UNKNOWN, FailureCode.CALLER_GONE.code());
        claim.ifPresent(hold -> hold.failed(RequestOutcome.UNKNOWN));
    }

    private void finish(RequestOutcome outcome, String code) {
        AnswerOrigin last = release();
        if (last instanceof PeerConnection connection) {
            connection.requestClosed();
        } else if (last != null) {
            last.updateTakenBytes(description.identifier(), takenBytes);
        }
        desk.ended(this, outcome, code);
    }

    private synchronized AnswerOrigin release() {
        AnswerOrigin last = origin;
        ended = true;
        content = null;
        origin = null;
        return last;
    }
}
