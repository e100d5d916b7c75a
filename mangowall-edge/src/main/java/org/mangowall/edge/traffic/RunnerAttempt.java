package org.mangowall.edge.traffic;

import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.concurrent.ScheduledFuture;
import org.mangowall.edge.decision.LoadEvent;
import org.mangowall.edge.decision.PlacementDecision;
import org.mangowall.edge.model.RunnerEntry;
import org.mangowall.edge.model.RunnerResponse;

/** One sending of a request to one runner. */
final class RunnerAttempt implements RunnerListener {

    /** Answers up to this size are held until they are complete, so that a broken one can be replaced. */
    private static final int MOST_HELD_BYTES = 1 << 20;

    private final EdgeContext context;
    private final Exchange exchange;
    private final PlacementDecision.Send decision;
    private final long number;
    private final long startedAt;
    private RunnerConnection connection;
    private HttpResponse head;
    private ByteBuf held = Unpooled.EMPTY_BUFFER;
    private EventSplitter splitter;
    private ScheduledFuture<?> silence;
    private long sentAt;
    private boolean isOver;
    private boolean isDiscarding;
    private boolean isStreaming;
    private boolean hasBegun;

    RunnerAttempt(EdgeContext context, Exchange exchange, PlacementDecision.Send decision, long number) {
        this.context = context;
        this.exchange = exchange;
        this.decision = decision;
        this.number = number;
        this.startedAt = context.now();
    }

    RunnerEntry runner() {
        return decision.runner();
    }

    PlacementDecision.Send decision() {
        return decision;
    }

    boolean wasSent() {
        return connection != null;
    }

    /** Takes a connection and sends, unless the request ended meanwhile or the runner may no longer be used. */
    void connected(Acquired acquired) {
        switch (acquired) {
            case Acquired.Ready ready -> connected(ready.connection());
            case Acquired.UsedUp usedUp ->
                dropBeforeSending("this host's connections to the runner are used up", false);
            case Acquired.Unreachable unreachable -> dropBeforeSending(unreachable.reason(), true);
        }
    }

    private void connected(RunnerConnection ready) {
        if (isOver) {
            ready.release();
            return;
        }
        if (!context.fleet().isOpen(runner())) {
            ready.release();
            dropBeforeSending("the runner takes no more work", false);
            return;
        }
        connection = ready;
        sentAt = context.now();
        connection.send(exchange.headFor(this), exchange.body(), exchange.identifier(), this);
        watchSilence(Silence.beforeAnswerMillis(exchange.route(), decision));
    }

    private void dropBeforeSending(String reason, boolean isUnreachable) {
        if (isOver) {
            return;
        }
        end();
        if (isUnreachable) {
            context.unreachable(runner().identifier());
        }
        exchange.notReached(this, reason);
    }

    private void watchSilence(long millis) {
        if (silence != null) {
            silence.cancel(false);
        }
        silence = context.loop().schedule(this::fellSilent, millis, TimeUnit.MILLISECONDS);
    }

    private void fellSilent() {
        if (isOver) {
            return;
        }
        context.fleet().answered(runner().identifier(), true, context.now());
        context.metrics().trouble(runner().service(), "silent");
        exchange.silent(this);
    }

    void callerWritable(boolean isWritable) {
        if (connection != null) {
            connection.setReading(isWritable);
        }
    }

    /** Gives the attempt up; the runner stops working on it. */
    void cancel() {
        if (isOver) {
            return;
        }
        end();
        if (connection != null && !isDiscarding) {
            connection.cancel();
        }
    }

    private void end() {
        isOver = true;
        if (silence != null) {
            silence.cancel(false);
        }
        held.release();
        held = Unpooled.EMPTY_BUFFER;
        context.tell(new LoadEvent.Ended(number));
    }

    @Override
    public void answerBegan(HttpResponse newHead, RunnerResponse answer) {
        if (isOver) {
            return;
        }
        answer.coldLeft()
                .ifPresent(left -> context.fleet().coldFor(runner().identifier(), left.toNanos(), context.now()));
        if (answer.isNotRun()) {
            isDiscarding = true;
            end();
            exchange.notRun(this, answer);
            return;
        }
        if (answer.isSuccess() && !answer.isSigned()) {
            fail("the answer bears no signature");
            return;
        }
        if (answer.isSuccess() && newHead.headers().contains(HttpHeaderNames.CONTENT_ENCODING)) {
            fail("the answer has a content coding that nobody asked for");
            return;
        }
        head = newHead;
        isStreaming = answer.isSuccess() && exchange.route().kind().isStream();
        if (!isStreaming) {
            held = Unpooled.buffer();
            return;
        }
        if (exchange.route().kind().isRepeatable()) {
            splitter = new EventSplitter();
        }
    }

    private void fail(String reason) {
        context.fleet().answered(runner().identifier(), true, context.now());
        context.metrics().trouble(runner().service(), "invalid");
        cancel();
        exchange.failed(this, reason);
    }

    @Override
    public void answerPart(ByteBuf bytes) {
        if (isOver) {
            return;
        }
        noteBegin();
        if (!isStreaming) {
            hold(bytes);
            return;
        }
        watchSilence(Silence.betweenPartsMillis(exchange.route()));
        if (splitter == null) {
            exchange.relay(this, head, bytes.retainedDuplicate());
            return;
        }
        ByteBuf whole = splitter.take(bytes);
        if (whole.isReadable()) {
            splitter.lastEvent().ifPresent(exchange::noteEvent);
            exchange.relay(this, head, whole);
        }
    }

    private void hold(ByteBuf bytes) {
        if (held.readableBytes() + bytes.readableBytes() <= MOST_HELD_BYTES) {
            held.writeBytes(bytes, bytes.readerIndex(), bytes.readableBytes());
            return;
        }
        isStreaming = true;
        ByteBuf first = held;
        held = Unpooled.EMPTY_BUFFER;
        exchange.relay(this, head, first);
        exchange.relay(this, head, bytes.retainedDuplicate());
    }

    private void noteBegin() {
        if (hasBegun) {
            return;
        }
        hasBegun = true;
        if (decision.waitedTokens() > 0) {
            double millis = (context.now() - sentAt) / Exchange.NANOS_PER_MILLI;
            context.fleet().firstEvent(runner().identifier(), decision.waitedTokens(), millis);
            context.tell(new LoadEvent.AnswerBegun(number));
        }
    }

    @Override
    public void answerEnded() {
        if (isOver) {
            return;
        }
        boolean isTrouble = head.status().code() >= 500;
        context.fleet().answered(runner().identifier(), isTrouble, context.now());
        if (isTrouble) {
            context.metrics().trouble(runner().service(), "error");
        } else {
            context.fleet().completed(runner().identifier(), (context.now() - sentAt) / Exchange.NANOS_PER_MILLI);
        }
        HttpResponse answered = head;
        if (isStreaming) {
            ByteBuf rest = splitter == null ? Unpooled.EMPTY_BUFFER : splitter.drain();
            end();
            exchange.relayEnded(this, answered, rest);
            return;
        }
        ByteBuf whole = held;
        held = Unpooled.EMPTY_BUFFER;
        end();
        exchange.complete(this, answered, whole);
    }

    @Override
    public void answerLost(String reason) {
        if (isOver) {
            return;
        }
        context.fleet().answered(runner().identifier(), true, context.now());
        context.metrics().trouble(runner().service(), "lost");
        end();
        exchange.failed(this, reason);
    }

    double runMillis() {
        return (context.now() - startedAt) / Exchange.NANOS_PER_MILLI;
    }
}
