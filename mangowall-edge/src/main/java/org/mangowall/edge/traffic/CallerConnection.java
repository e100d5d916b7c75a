package org.mangowall.edge.traffic;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.mangowall.edge.model.CallerLimits;
import org.mangowall.edge.overload.BodyRoom;
import org.mangowall.edge.overload.ConnectionHolder;
import org.mangowall.edge.overload.HeldPart;
import org.mangowall.kernel.failure.FailureCode;

/** A caller's connection: reads complete requests and processes them one at a time. */
final class CallerConnection extends ChannelInboundHandlerAdapter implements TrackedConnection {

    /** Maximum number of queued parts of pipelined requests; no well-behaved client sends more ahead. */
    private static final int MAX_QUEUED_PARTS = 256;
    /** Queued bytes beyond which nothing is read from this caller until its turn has come. */
    private static final int MAX_QUEUED_BYTES = 1 << 16;

    private static final int MAX_LOGGED_TARGET = 128;

    private final EdgeContext context;
    private final RunnerConnections runners;
    private final CallerConnections connections;
    private final Deque<QueuedPart> queued = new ArrayDeque<>();
    private final Runnable admission;
    private long queuedBytes;
    private Channel channel;
    private ConnectionHolder holder;
    private HttpRequest head;
    private RequestBody body;
    /** Whether the whole body has arrived; its request starts once the body has room. */
    private boolean isBodyComplete;

    private long waitingSince;
    private double bearableWaitMillis;
    private Exchange exchange;
    private boolean isClosing;
    /** Whether the rest of a rejected request is read and dropped, since an early close could drop the response. */
    private boolean isDraining;

    private long idleSince;
    private long readStartedAt;
    private long requestArrivedAt;

    CallerConnection(EdgeContext context, RunnerConnections runners, CallerConnections connections) {
        this.context = context;
        this.runners = runners;
        this.connections = connections;
        this.admission = () -> context.loop().execute(this::admitted);
    }

    /** A part of a pipelined request, read while another request is processed. */
    private record QueuedPart(HttpObject part, long arrivedAt) {

        private int bytes() {
            return part instanceof HttpContent content ? content.content().readableBytes() : 0;
        }
    }

    @Override
    public void handlerAdded(ChannelHandlerContext handlerContext) {
        channel = handlerContext.channel();
        holder = CallerRoom.holderOf(channel);
        idleSince = context.now();
        connections.add(this);
    }

    @Override
    public void channelInactive(ChannelHandlerContext handlerContext) {
        connections.remove(this);
        discardInput();
        if (exchange != null) {
            Exchange abandoned = exchange;
            exchange = null;
            abandoned.callerDisconnected();
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext handlerContext, Object message) {
        if (isClosing) {
            boolean isDrained = isDraining && message instanceof LastHttpContent;
            ReferenceCountUtil.release(message);
            if (isDrained) {
                closeWhenSent();
            }
            return;
        }
        if (exchange == null && !isBodyComplete && queued.isEmpty()) {
            read((HttpObject) message);
            return;
        }
        if (queued.size() >= MAX_QUEUED_PARTS) {
            ReferenceCountUtil.release(message);
            channel.close();
            return;
        }
        queue(new QueuedPart((HttpObject) message, earliestArrival()));
    }

    private void queue(QueuedPart part) {
        queued.addLast(part);
        queuedBytes += part.bytes();
        context.heldMemory().add(HeldPart.REQUEST_BODIES, part.bytes());
        if (queuedBytes > MAX_QUEUED_BYTES) {
            channel.config().setAutoRead(false);
        }
    }

    private QueuedPart nextQueued() {
        QueuedPart next = queued.pollFirst();
        queuedBytes -= next.bytes();
        context.heldMemory().release(HeldPart.REQUEST_BODIES, next.bytes());
        return next;
    }

    /** Bytes were received; they start a new request unless one is being read or processed. */
    void bytesReceived() {
        if (exchange == null && readStartedAt == 0) {
            readStartedAt = context.now();
            requestArrivedAt = earliestArrival();
        }
    }

    /** When bytes that are read now may have arrived at the earliest. */
    private long earliestArrival() {
        return context.now() - context.loopDelay().currentDelayNanos();
    }

    private void read(HttpObject message) {
        try {
            if (message.decoderResult().isFailure()) {
                Throwable cause = message.decoderResult().cause();
                reject(failureCodeOf(cause), message, String.valueOf(cause));
                return;
            }
            if (message instanceof HttpRequest request) {
                startRequest(request);
            }
            if (message instanceof HttpContent content && head != null) {
                appendBody(content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private static FailureCode failureCodeOf(Throwable cause) {
        return cause instanceof TooLongFrameException ? FailureCode.HEADERS_TOO_LARGE : FailureCode.MALFORMED_REQUEST;
    }

    private CallerLimits limits() {
        return context.callerLimits();
    }

    private void startRequest(HttpRequest request) {
        if (!StrictRequestDecoder.isUnambiguous(request)) {
            reject(FailureCode.MALFORMED_REQUEST, request, "the host or the length of the body is ambiguous");
            return;
        }
        if (HttpUtil.getContentLength(request, 0L) > limits().bodyBytes()) {
            reject(FailureCode.BODY_TOO_LARGE, request, "content-length " + HttpUtil.getContentLength(request, 0L));
            return;
        }
        head = request;
        boolean isLengthUnknown = HttpUtil.isTransferEncodingChunked(request);
        long announcedBytes = isLengthUnknown ? -1 : HttpUtil.getContentLength(request, 0L);
        body = new RequestBody(context, channel.alloc(), announcedBytes, admission);
        reserve(isLengthUnknown ? Math.min(BodyRoom.SMALL_BYTES, limits().bodyBytes()) : announcedBytes);
        if (!isClosing && !body.isWaiting()) {
            inviteBody();
        }
    }

    private void inviteBody() {
        if (HttpUtil.is100ContinueExpected(head)) {
            channel.writeAndFlush(new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
        }
    }

    /** Takes room for the body; stops reading from this caller if it has to wait. */
    private void reserve(long bytes) {
        boolean isSmall = bytes <= BodyRoom.SMALL_BYTES;
        double bearableMillis = isSmall ? 0 : bearableWaitMillis();
        switch (body.reserve(bytes, bearableMillis)) {
            case BodyRoom.Decision.Take take -> {}
            case BodyRoom.Decision.Wait wait -> {
                waitingSince = context.now();
                bearableWaitMillis = bearableMillis;
                channel.config().setAutoRead(false);
                logBody("body-waits", bytes, 0);
            }
            case BodyRoom.Decision.Reject rejection -> rejectForRoom(rejection.retryAfterMillis());
        }
    }

    private double bearableWaitMillis() {
        RequestResolver.Resolution resolution = new RequestResolver(context).resolve(head);
        if (resolution.failure().isPresent()) {
            return 0;
        }
        double bearableMillis =
                RequestArrival.bearableWaitMillis(resolution.route().orElseThrow(), resolution.timeoutMillis());
        return bearableMillis - (context.now() - requestArrivedAt) / Exchange.NANOS_PER_MILLI;
    }

    private void logBody(String event, long bytes, long waitedMillis) {
        context.log().write(event, line -> {
            line.writeStringField("caller", String.valueOf(channel.remoteAddress()));
            line.writeNumberField("bytes", bytes);
            line.writeNumberField("waitedMillis", waitedMillis);
            line.writeNumberField("heldBodyBytes", context.heldMemory().heldBytes(HeldPart.REQUEST_BODIES));
            line.writeNumberField("pausedCallers", context.bodyRoom().waiting());
        });
    }

    private boolean isWaitingForRoom() {
        return body != null && body.isWaiting();
    }

    /** The body that waited has got its room. */
    private void admitted() {
        if (body == null || body.isWaiting()) {
            return;
        }
        long waitedNanos = context.now() - waitingSince;
        readStartedAt += waitedNanos;
        logBody("body-admitted", body.reservedBytes(), TimeUnit.NANOSECONDS.toMillis(waitedNanos));
        if (isBodyComplete) {
            startExchange();
        } else if (body.length() == 0) {
            inviteBody();
        }
        readQueue();
    }

    /** Rejects a request before its body was read; the rest of it is read and dropped. */
    private void rejectForRoom(double retryAfterMillis) {
        logRefused(FailureCode.HOST_FULL, head, "no room for the body, of which " + body.length() + " bytes arrived");
        boolean isRead =
                isBodyComplete || queued.stream().anyMatch(waiting -> waiting.part() instanceof LastHttpContent);
        boolean isNothingToDrain = isRead || HttpUtil.is100ContinueExpected(head) && body.length() == 0;
        isClosing = true;
        isDraining = true;
        readStartedAt = context.now();
        discardInput();
        channel.writeAndFlush(ProblemResponse.create(FailureCode.HOST_FULL, retryAfterMillis, true));
        if (isNothingToDrain) {
            closeWhenSent();
        }
        channel.config().setAutoRead(true);
    }

    private void closeWhenSent() {
        channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
    }

    private void appendBody(HttpContent content) {
        long length = body.length() + content.content().readableBytes();
        if (length > limits().bodyBytes()) {
            reject(FailureCode.BODY_TOO_LARGE, head, "more than " + body.length() + " bytes");
            return;
        }
        if (length > body.reservedBytes() && !body.isWaiting()) {
            reserve(limits().bodyBytes());
        }
        if (isClosing) {
            if (content instanceof LastHttpContent) {
                closeWhenSent();
            }
            return;
        }
        body.append(content.content());
        if (!(content instanceof LastHttpContent)) {
            return;
        }
        isBodyComplete = true;
        if (!body.isWaiting()) {
            startExchange();
        }
    }

    private void startExchange() {
        HttpRequest request = head;
        RequestBody completeBody = body;
        head = null;
        body = null;
        isBodyComplete = false;
        readStartedAt = 0;
        completeBody.complete();
        exchange = new Exchange(context, runners, this, request, completeBody, requestArrivedAt);
        Exchange started = exchange;
        started.arrived();
        holder = started.workspace()
                .<ConnectionHolder>map(ConnectionHolder.Workspace::new)
                .orElse(holder);
    }

    /** Responds with an error and closes the connection: the start of the next request can't be found. */
    private void reject(FailureCode code, HttpObject message, String reason) {
        logRefused(code, message, reason);
        close(ProblemResponse.create(code, 0, true));
    }

    private void logRefused(FailureCode code, HttpObject message, String reason) {
        context.metrics().countResponse("none", code.code());
        String target = message instanceof HttpRequest request ? request.method() + " " + request.uri() : "";
        context.log().write("refused", line -> {
            line.writeStringField("code", code.code());
            line.writeStringField("caller", String.valueOf(channel.remoteAddress()));
            line.writeStringField("reason", reason);
            line.writeStringField("target", target.substring(0, Math.min(target.length(), MAX_LOGGED_TARGET)));
        });
    }

    private void close(FullHttpResponse last) {
        isClosing = true;
        discardInput();
        channel.writeAndFlush(last).addListener(ChannelFutureListener.CLOSE);
    }

    private void discardInput() {
        head = null;
        if (body != null) {
            body.release();
            body = null;
        }
        while (!queued.isEmpty()) {
            ReferenceCountUtil.release(nextQueued().part());
        }
    }

    Channel channel() {
        return channel;
    }

    /** The response was written; reads the next request unless the connection is closing. */
    void responseSent(boolean isKeepAlive) {
        exchange = null;
        idleSince = context.now();
        if (!isKeepAlive || context.lifecycle().isRejecting() && queued.isEmpty()) {
            isClosing = true;
            discardInput();
            closeWhenSent();
            return;
        }
        readQueue();
    }

    private void readQueue() {
        while (exchange == null && !isWaitingForRoom() && !isClosing && !queued.isEmpty()) {
            readQueued(nextQueued());
        }
        if (queuedBytes <= MAX_QUEUED_BYTES && !isWaitingForRoom()) {
            channel.config().setAutoRead(true);
        }
        connections.room().becameIdle();
    }

    private void readQueued(QueuedPart next) {
        if (next.part() instanceof HttpRequest) {
            readStartedAt = context.now();
            requestArrivedAt = next.arrivedAt();
        }
        read(next.part());
    }

    /** Closes the connection so that the caller sees that the response is incomplete. */
    void abort() {
        isClosing = true;
        exchange = null;
        discardInput();
        channel.close();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext handlerContext) {
        if (exchange != null) {
            exchange.callerWritabilityChanged(channel.isWritable());
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext handlerContext, Throwable cause) {
        context.log().write("caller-connection-failed", line -> line.writeStringField("reason", String.valueOf(cause)));
        handlerContext.close();
    }

    /** Enforces the read timeout of a request and the idle timeout of the connection. */
    void checkTimeouts(long now) {
        CallerLimits limits = limits();
        if (isDraining && now - readStartedAt > limits.readTimeout().toNanos()) {
            channel.close();
        }
        if (exchange != null || isClosing) {
            return;
        }
        if (isWaitingForRoom()) {
            double waitedMillis = (now - waitingSince) / Exchange.NANOS_PER_MILLI;
            if (waitedMillis > bearableWaitMillis) {
                rejectForRoom(waitedMillis);
            }
            return;
        }
        if (readStartedAt != 0) {
            if (now - readStartedAt > limits.readTimeout().toNanos()) {
                reject(FailureCode.REQUEST_READ_TIMEOUT, head, "the request didn't arrive in time");
            }
            return;
        }
        if (hasUnsentBytes()) {
            idleSince = now;
            return;
        }
        if (now - idleSince > limits.idleTimeout().toNanos()) {
            channel.close();
        }
    }

    /** Gives the request that is being read or processed its final response: the host ends. */
    void endRequest() {
        if (exchange != null) {
            exchange.hostEnds();
        } else if (readStartedAt != 0 && !isClosing) {
            reject(FailureCode.ROUTER_LEAVING, head, "the host ends");
        }
    }

    @Override
    public ConnectionHolder holder() {
        return holder;
    }

    @Override
    public long idleSince() {
        return idleSince;
    }

    @Override
    public void closeIfIdle() {
        if (!isBusy()) {
            channel.close();
        }
    }

    @Override
    public boolean isBusy() {
        return exchange != null || readStartedAt != 0 || !queued.isEmpty() || hasUnsentBytes();
    }

    /** Whether bytes of a response wait for a slow caller; closing the connection would drop them. */
    private boolean hasUnsentBytes() {
        ChannelOutboundBuffer unsent = channel.unsafe().outboundBuffer();
        return unsent != null && unsent.totalPendingWriteBytes() > 0;
    }
}
