package org.mangowall.router.caller;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.Consumer;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import org.mangowall.kernel.failure.RequestOutcome;
import org.mangowall.protocol.HeaderField;

/** Writes the answer to one request of a caller; confined to the event loop of the caller's connection. */
public final class CallerExchange {

    static final String REQUEST_HEADER = "x-mangowall-request";
    static final String OUTCOME_HEADER = "x-mangowall-outcome";
    static final String RUNNER_HEADER = "x-mangowall-runner";

    private static final String EVENT_STREAM = "text/event-stream";

    private final Channel channel;
    private final Consumer<CallerExchange> onEnded;
    private final boolean supportsChunking;
    private boolean keepAlive;
    private boolean answerBegun;
    private boolean headWritten;
    private BufferedAnswer buffered;
    private boolean eventStream;
    private boolean ended;

    CallerExchange(Channel channel, HttpRequest request, Consumer<CallerExchange> onEnded) {
        this.channel = channel;
        this.onEnded = onEnded;
        this.supportsChunking = request.protocolVersion().isKeepAliveDefault();
        this.keepAlive = HttpUtil.isKeepAlive(request);
    }

    Channel channel() {
        return channel;
    }

    /** Whether a runner's answer has begun; its head is then either buffered or already written. */
    boolean hasAnswerBegun() {
        return answerBegun;
    }

    /** Whether the connection stays open for another request after this answer. */
    boolean isKeptAlive() {
        return keepAlive;
    }

    void closeAfterAnswer() {
        keepAlive = false;
    }

    /** Begins a runner's answer; a small one of known length is buffered until it is complete. */
    void writeHead(String requestIdentifier, String runner, int status, List<HeaderField> headers) {
        HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
        HttpHeaders fields = response.headers();
        for (HeaderField header : headers) {
            fields.add(header.name(), header.value());
        }
        boolean lengthKnown = fields.contains(HttpHeaderNames.CONTENT_LENGTH);
        if (!lengthKnown && supportsChunking && mayHaveBody(status)) {
            HttpUtil.setTransferEncodingChunked(response, true);
        }
        if (!lengthKnown && !supportsChunking) {
            keepAlive = false;
        }
        fields.set(REQUEST_HEADER, requestIdentifier);
        fields.set(RUNNER_HEADER, runner);
        HttpUtil.setKeepAlive(fields, HttpVersion.HTTP_1_1, keepAlive);
        answerBegun = true;
        if (BufferedAnswer.accepts(response)) {
            buffered = new BufferedAnswer(response);
            return;
        }
        if (HttpUtil.isTransferEncodingChunked(response)) {
            fields.set(HttpHeaderNames.TRAILER, OUTCOME_HEADER);
        }
        eventStream = fields.get(HttpHeaderNames.CONTENT_TYPE, "").startsWith(EVENT_STREAM);
        headWritten = true;
        channel.writeAndFlush(response);
    }

    private static boolean mayHaveBody(int status) {
        return status != HttpResponseStatus.NO_CONTENT.code() && status != HttpResponseStatus.NOT_MODIFIED.code();
    }

    /** Writes a part of the body and calls {@code onWritten} once it was written to the caller's connection. */
    void writeBody(byte[] bytes, Runnable onWritten) {
        if (buffered != null) {
            buffered.add(bytes);
            onWritten.run();
            return;
        }
        channel.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(bytes)))
                .addListener(written -> {
                    if (written.isSuccess()) {
                        onWritten.run();
                    }
                });
    }

    /** Completes the answer, with the outcome in a header field or a trailer. */
    void end() {
        if (buffered != null) {
            headWritten = true;
            finish(buffered.toResponse(OUTCOME_HEADER, RequestOutcome.COMPLETE.text()));
            return;
        }
        LastHttpContent last = new DefaultLastHttpContent();
        last.trailingHeaders().set(OUTCOME_HEADER, RequestOutcome.COMPLETE.text());
        finish(last);
    }

    /** Answers with a problem, or aborts an answer whose head is written to show that it is incomplete. */
    void fail(Problem problem) {
        if (headWritten) {
            abort(problem);
            return;
        }
        writeDocument(problem.code().httpStatus(), Problem.MEDIA_TYPE, problem.toJson(), problem);
    }

    /** Answers with a complete document of the router itself; {@code problem} is null when it reports none. */
    void writeDocument(int status, String mediaType, byte[] bytes, Problem problem) {
        FullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), Unpooled.wrappedBuffer(bytes));
        HttpHeaders fields = response.headers();
        fields.set(HttpHeaderNames.CONTENT_TYPE, mediaType);
        fields.set(HttpHeaderNames.CONTENT_LENGTH, bytes.length);
        if (problem != null) {
            fields.set(OUTCOME_HEADER, problem.code().outcome().text());
            problem.request().ifPresent(identifier -> fields.set(REQUEST_HEADER, identifier));
            if (problem.retryAfterSeconds() > 0) {
                fields.set(HttpHeaderNames.RETRY_AFTER, problem.retryAfterSeconds());
            }
        }
        HttpUtil.setKeepAlive(fields, HttpVersion.HTTP_1_1, keepAlive);
        headWritten = true;
        finish(response);
    }

    private void abort(Problem problem) {
        if (ended) {
            return;
        }
        ended = true;
        keepAlive = false;
        ByteBuf last = Unpooled.EMPTY_BUFFER;
        if (eventStream) {
            String event = "event: error\ndata: " + new String(problem.toJson(), StandardCharsets.UTF_8) + "\n\n";
            last = Unpooled.copiedBuffer(event, StandardCharsets.UTF_8);
        }
        if (!supportsChunking) {
            resetOnClose();
        }
        channel.writeAndFlush(new DefaultHttpContent(last)).addListener(ChannelFutureListener.CLOSE);
        onEnded.accept(this);
    }

    /** Without length or chunks, the end of the connection ends the answer: only a reset marks it as incomplete. */
    private void resetOnClose() {
        channel.config().setOption(ChannelOption.SO_LINGER, 0);
    }

    private void finish(Object lastPart) {
        if (ended) {
            return;
        }
        ended = true;
        channel.writeAndFlush(lastPart).addListener(written -> {
            if (!keepAlive) {
                channel.close();
            }
        });
        onEnded.accept(this);
    }
}
