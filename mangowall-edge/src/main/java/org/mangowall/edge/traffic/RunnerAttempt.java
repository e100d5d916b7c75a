package org.mangowall.edge.traffic;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.concurrent.ScheduledFuture;
import org.mangowall.edge.decision.LoadEvent;
import org.mangowall.edge.decision.PlacementDecision;
import org.mangowall.edge.decision.RunOutcome;
import org.mangowall.edge.model.RunCopy;
import org.mangowall.edge.model.RunnerEntry;
import org.mangowall.edge.model.RunnerResponse;
import org.mangowall.edge.wire.MoveResponse;

/** One attempt to run a request on a runner. */
final class RunnerAttempt implements RunnerResponseListener {

    /**
     * Non-streamed responses up to this size are buffered until complete, so that a failed one can be retried, as long
     * as the host has memory for it.
     */
    private static final int MAX_BUFFERED_BYTES = 1 << 20;

    /** A longer body of a response that is discarded is not read on: a runner in trouble may send bytes without end. */
    private static final int MAX_DISCARDED_BYTES = 1 << 16;

    /** Parts may be small and their framing long. */
    private static final int MAX_DISCARDED_PARTS = 64;

    private static final long MAX_DISCARD_MILLIS = 1_000;

    private static final int FIRST_ERROR_STATUS = 300;

    /** With a longer delay on this host's own path, a connection that fails in time says nothing about its runner. */
    private static final double MAX_PATH_DELAY_MILLIS = RunnerConnections.CONNECT_TIMEOUT_MILLIS / 2.0;

    private static final String EVENT_STREAM = "text/event-stream";

    private final EdgeContext context;
    private final Exchange exchange;
    private final PlacementDecision.Send decision;
    private final long attemptNumber;
    private final long startedAt;
    private final Optional<RunCopy> copy;
    private final BufferedMemory bufferedMemory;
    private RunnerConnection connection;
    private HttpResponse head;
    private ByteBuf buffered = Unpooled.EMPTY_BUFFER;
    private EventSplitter splitter;
    private ScheduledFuture<?> stallTimer;
    private long sentAt;
    private boolean isFinished;
    private boolean isDiscardingResponse;
    private boolean isStreaming;
    private boolean hasReceivedBody;
    private long bodyBytes;
    private int discardedParts;
    private boolean isMoveConsidered;
    private Optional<RunMove> move = Optional.empty();
    private Optional<MoveResponse> moveResponse = Optional.empty();
    private Optional<String> endedWhileMoving = Optional.empty();

    /**
     * Creates an attempt that isn't sent.
     *
     * @param copy the copy of the run's memory with which the run goes on; empty for one that begins
     */
    RunnerAttempt(
            EdgeContext context,
            Exchange exchange,
            PlacementDecision.Send decision,
            long attemptNumber,
            Optional<RunCopy> copy) {
        this.context = context;
        this.exchange = exchange;
        this.decision = decision;
        this.attemptNumber = attemptNumber;
        this.startedAt = context.now();
        this.copy = copy;
        this.bufferedMemory = new BufferedMemory(context.heldMemory());
    }

    RunnerEntry runner() {
        return decision.runner();
    }

    PlacementDecision.Send decision() {
        return decision;
    }

    Optional<RunCopy> copy() {
        return copy;
    }

    /** Sends the request, unless it ended meanwhile or the runner no longer accepts work. */
    void connected(AcquireResult result) {
        switch (result) {
            case AcquireResult.Ready ready -> connected(ready.connection());
            case AcquireResult.LimitReached limitReached -> abandonBeforeSending(limitReached.reason(), false);
            case AcquireResult.Unreachable unreachable -> abandonBeforeSending(unreachable.reason(), true);
        }
    }

    private void connected(RunnerConnection ready) {
        if (isFinished) {
            ready.release();
            return;
        }
        if (!context.fleet().acceptsRequests(runner())) {
            ready.release();
            abandonBeforeSending("the runner accepts no more requests", false);
            return;
        }
        connection = ready;
        sentAt = context.now();
        connection.send(exchange.requestHeadFor(this), exchange.body(), exchange.identifier(), this);
        restartStallTimer(StallTimeouts.firstByteMillis(exchange.route(), decision));
    }

    private void abandonBeforeSending(String reason, boolean isUnreachable) {
        if (isFinished) {
            return;
        }
        finish(RunOutcome.OTHER);
        if (isUnreachable && context.pathDelayMillis() < MAX_PATH_DELAY_MILLIS) {
            context.markUnreachable(runner().identifier());
        }
        exchange.notReached(this, reason);
    }

    private void restartStallTimer(long millis) {
        if (stallTimer != null) {
            stallTimer.cancel(false);
        }
        long delayedMillis = millis + Math.round(context.pathDelayMillis());
        stallTimer = context.loop().schedule(this::stalled, delayedMillis, TimeUnit.MILLISECONDS);
    }

    private void stalled() {
        if (isFinished) {
            return;
        }
        if (moveResponse.flatMap(MoveResponse::copy).isPresent()) {
            connection.cancel();
            connectionLost("the stream of a run that was moved did not end");
            return;
        }
        context.fleet().recordResponse(runner().identifier(), true, context.now());
        context.metrics().countRunnerFailure(runner().service(), "silent");
        exchange.attemptStalled(this);
    }

    void callerWritabilityChanged(boolean isWritable) {
        if (connection != null) {
            connection.setReading(isWritable);
        }
    }

    /** Cancels the attempt; closing the connection makes the runner stop. */
    void cancel() {
        if (isFinished) {
            return;
        }
        finish(RunOutcome.OTHER);
        if (connection != null && !isDiscardingResponse) {
            connection.cancel();
        }
    }

    private void finish(RunOutcome outcome) {
        isFinished = true;
        if (stallTimer != null) {
            stallTimer.cancel(false);
        }
        buffered.release();
        buffered = Unpooled.EMPTY_BUFFER;
        bufferedMemory.release();
        context.publish(new LoadEvent.Ended(attemptNumber, outcome, fingerprintFor(outcome)));
    }

    /** Fingerprints are computed only for runs that may cast suspicion on a request or clear it. */
    private OptionalLong fingerprintFor(RunOutcome outcome) {
        boolean isNeeded = switch (outcome) {
            case LOST -> true;
            case COMPLETE -> context.fleet().quarantine().hasSuspects();
            case OTHER -> false;
        };
        return isNeeded ? OptionalLong.of(exchange.fingerprint()) : OptionalLong.empty();
    }

    @Override
    public void strayResponseReceived(RunnerResponse response) {
        context.metrics().countStrayResponse(runner().service());
        exchange.log().strayResponse(exchange, this, response);
    }

    @Override
    public void headReceived(HttpResponse newHead, RunnerResponse response) {
        if (isFinished) {
            return;
        }
        response.coldLeft()
                .ifPresent(
                        left -> context.fleet().recordColdTime(runner().identifier(), left.toNanos(), context.now()));
        if (!response.isMisdirected()) {
            recordRateLimit(response);
            recordLeaving(response);
            recordLoad(response);
        }
        if (response.isNotExecuted()) {
            isDiscardingResponse = true;
            finish(RunOutcome.OTHER);
            context.loop().schedule(this::endDiscarding, MAX_DISCARD_MILLIS, TimeUnit.MILLISECONDS);
            exchange.notRun(this, response);
            return;
        }
        if (!response.isSigned()) {
            // Another server may listen at the address of a runner that has ended.
            rejectResponse("the response has no signature");
            return;
        }
        if (response.isSuccess() && newHead.headers().contains(HttpHeaderNames.CONTENT_ENCODING)) {
            rejectResponse("the response has a content coding that was not requested");
            return;
        }
        if (response.isSuccess() && exchange.hasResponseStarted() && !isEventStream(newHead)) {
            rejectResponse("the response does not continue the stream: it has another media type");
            return;
        }
        head = newHead;
        isStreaming = response.isSuccess() && exchange.route().kind().isStream();
        if (!isStreaming) {
            buffered = Unpooled.buffer();
            return;
        }
        if (isEventStream(newHead)) {
            splitter = new EventSplitter();
        }
    }

    /** Closes the connection, which carries no other request as long as this response is incomplete. */
    private void endDiscarding() {
        if (isDiscardingResponse) {
            isDiscardingResponse = false;
            connection.cancel();
        }
    }

    private void recordRateLimit(RunnerResponse response) {
        String identifier = runner().identifier();
        if (context.fleet().rateLimits().recordResponse(identifier, response.rateLimit(), sentAt, context.now())) {
            exchange.log().rateLimitChanged(exchange, this, response.rateLimit());
            context.publish(new LoadEvent.RateLimitStated(identifier, response.rateLimit(), 0));
        }
    }

    /** The few runners of a plain service state their load to all hosts; engines do it to each host often enough. */
    private void recordLoad(RunnerResponse response) {
        response.load()
                .flatMap(load ->
                        context.fleet().statedLoads().recordResponse(runner().identifier(), load, context.now()))
                .filter(event -> !exchange.route().kind().isStream())
                .ifPresent(context::publishToOthers);
    }

    private void recordLeaving(RunnerResponse response) {
        String identifier = runner().identifier();
        if (response.isLeaving() && !context.fleet().isLeaving(identifier)) {
            exchange.log().runnerLeaves(exchange, this);
            context.publish(new LoadEvent.RunnerLeaving(identifier));
        }
    }

    /** Whether the body consists of events; a runner of streams need not state the media type. */
    private static boolean isEventStream(HttpResponse newHead) {
        String mediaType = newHead.headers().get(HttpHeaderNames.CONTENT_TYPE, EVENT_STREAM);
        return mediaType.regionMatches(true, 0, EVENT_STREAM, 0, EVENT_STREAM.length());
    }

    private void rejectResponse(String reason) {
        context.fleet().recordResponse(runner().identifier(), true, context.now());
        context.metrics().countRunnerFailure(runner().service(), "invalid");
        cancel();
        exchange.failed(this, reason);
    }

    @Override
    public void bodyReceived(ByteBuf bytes) {
        bodyBytes += bytes.readableBytes();
        if (isFinished) {
            discardedParts += 1;
            if (bodyBytes > MAX_DISCARDED_BYTES || discardedParts > MAX_DISCARDED_PARTS) {
                connection.cancel();
            }
            return;
        }
        recordFirstPart();
        if (!isStreaming) {
            bufferPart(bytes);
            return;
        }
        if (splitter == null) {
            restartStallTimer(StallTimeouts.betweenPartsMillis(exchange.route()));
            exchange.forward(this, head, bytes.retainedDuplicate());
            return;
        }
        ByteBuf events = splitter.append(bytes);
        if (splitter.isEventTooLong()) {
            events.release();
            rejectResponse("an event of the stream has no end");
            return;
        }
        if (!bufferedMemory.tryResize(splitter.capacity())) {
            events.release();
            rejectResponse("the host has no memory for the rest of an event");
            return;
        }
        if (events.isReadable()) {
            // Only whole events are progress: a runner that sends a byte now and then has stalled.
            restartStallTimer(StallTimeouts.betweenPartsMillis(exchange.route()));
            splitter.lastEventIdentifier().ifPresent(exchange.stream()::recordLastEvent);
            exchange.forward(this, head, events);
            considerMove();
        }
    }

    /** Moves the run on after its first event, unless only the end of the connection would delimit its response. */
    private void considerMove() {
        if (!decision.isReadApart() || isMoveConsidered || framing() == ResponseFraming.CONNECTION_END) {
            return;
        }
        isMoveConsidered = true;
        move = exchange.movedRun().start(this);
    }

    /** The runner responded to the request to move the run, or didn't in time. */
    void moveAnswered(MoveResponse response) {
        moveResponse = Optional.of(response);
        if (isFinished) {
            response.copy().ifPresent(unused -> exchange.movedRun().release(runner(), unused));
            return;
        }
        if (endedWhileMoving.isEmpty()) {
            return;
        }
        if (response.copy().isPresent()) {
            goOnWithCopy(response, response.copy().get());
        } else {
            connectionLost(endedWhileMoving.get());
        }
    }

    private void goOnWithCopy(MoveResponse response, RunCopy made) {
        if (response.events() >= 0 && response.events() != splitter.eventCount()) {
            lost("the runner made " + response.events() + " events, " + splitter.eventCount() + " arrived");
            return;
        }
        finish(RunOutcome.OTHER);
        exchange.movedRun().moved(this, response.isCopied() ? move.orElseThrow().target() : runner(), made);
    }

    private void bufferPart(ByteBuf bytes) {
        int length = buffered.readableBytes() + bytes.readableBytes();
        boolean isTooLong = length > MAX_BUFFERED_BYTES;
        if (!isTooLong && bufferedMemory.tryResize(length)) {
            buffered.writeBytes(bytes, bytes.readerIndex(), bytes.readableBytes());
            return;
        }
        if (head.status().code() >= FIRST_ERROR_STATUS) {
            rejectResponse(
                    isTooLong
                            ? "the error response has no end"
                            : "the host has no memory for the rest of the error response");
            return;
        }
        isStreaming = true;
        ByteBuf first = buffered;
        buffered = Unpooled.EMPTY_BUFFER;
        bufferedMemory.release();
        exchange.forward(this, head, first);
        exchange.forward(this, head, bytes.retainedDuplicate());
    }

    private void recordFirstPart() {
        if (hasReceivedBody) {
            return;
        }
        hasReceivedBody = true;
        if (decision.waitedTokens() > 0) {
            double millis = (context.now() - sentAt) / Exchange.NANOS_PER_MILLI;
            context.fleet()
                    .recordFirstToken(
                            runner().identifier(), decision.waitedTokens(), millis, context.pathDelayMillis());
            context.publish(new LoadEvent.ResponseStarted(attemptNumber));
        }
    }

    @Override
    public void responseCompleted() {
        isDiscardingResponse = false;
        if (isFinished) {
            return;
        }
        if (splitter != null) {
            context.metrics().countRunnerResponse(runner().service(), framing().label(), splitter.isInsideEvent());
            if (!isStreamWhole()) {
                connectionLost("the runner ended the stream inside an event or before the first one");
                return;
            }
        }
        recordCompletion();
        RunOutcome outcome = head.status().code() < FIRST_ERROR_STATUS ? RunOutcome.COMPLETE : RunOutcome.OTHER;
        if (isStreaming) {
            finish(outcome);
            exchange.forwardEnd(this, head);
            return;
        }
        ByteBuf body = buffered;
        buffered = Unpooled.EMPTY_BUFFER;
        finish(outcome);
        exchange.complete(this, head, body);
    }

    /** Whether the stream ended between events; one without events must be delimited by chunks or a length. */
    private boolean isStreamWhole() {
        if (splitter.isInsideEvent()) {
            return false;
        }
        return bodyBytes > 0 || framing() != ResponseFraming.CONNECTION_END;
    }

    private void recordCompletion() {
        boolean isServerError = head.status().code() >= 500;
        context.fleet().recordResponse(runner().identifier(), isServerError, context.now());
        if (isServerError) {
            context.metrics().countRunnerFailure(runner().service(), "error");
            return;
        }
        context.fleet().recordCompletion(runner().identifier(), (context.now() - sentAt) / Exchange.NANOS_PER_MILLI);
    }

    @Override
    public void connectionLost(String reason) {
        isDiscardingResponse = false;
        if (isFinished) {
            return;
        }
        if (move.isPresent() && moveResponse.isEmpty()) {
            endedWhileMoving = Optional.of(reason);
            return;
        }
        Optional<RunCopy> made = moveResponse.flatMap(MoveResponse::copy);
        if (made.isPresent()) {
            goOnWithCopy(moveResponse.get(), made.get());
            return;
        }
        lost(reason);
    }

    private void lost(String reason) {
        context.fleet().recordResponse(runner().identifier(), true, context.now());
        context.metrics().countRunnerFailure(runner().service(), "lost");
        finish(RunOutcome.LOST);
        exchange.failed(this, reason);
    }

    /** How far the response has got; empty before its head was received. */
    Optional<ResponseProgress> responseProgress() {
        if (head == null) {
            return Optional.empty();
        }
        return Optional.of(new ResponseProgress(
                framing(),
                bodyBytes,
                unfinishedEventBytes(),
                splitter == null ? Optional.empty() : splitter.lastEventIdentifier(),
                connection.isRequestWritten()));
    }

    private ResponseFraming framing() {
        return ResponseFraming.of(head);
    }

    private int unfinishedEventBytes() {
        return splitter == null ? 0 : splitter.pendingBytes();
    }

    double elapsedMillis() {
        return (context.now() - startedAt) / Exchange.NANOS_PER_MILLI;
    }
}
