package org.mangowall.edge.program;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Function;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import org.mangowall.edge.log.EdgeMetrics;
import org.mangowall.edge.wire.DirectoryCodec;
import org.mangowall.edge.wire.DirectoryCodec.DirectoryCall;

/** Answers callers that ask which hosts to use, the platform's readiness check, and readers of metrics. */
final class DirectoryHandler extends SimpleChannelInboundHandler<FullHttpRequest> {

    private static final String METRICS_PATH = "/metrics";

    private final DirectoryCodec dialect;
    private final BooleanSupplier isReady;
    private final Function<String, List<String>> addresses;
    private final Duration answerLife;
    private final EdgeMetrics metrics;

    DirectoryHandler(
            DirectoryCodec dialect,
            BooleanSupplier isReady,
            Function<String, List<String>> addresses,
            Duration answerLife,
            EdgeMetrics metrics) {
        this.dialect = dialect;
        this.isReady = isReady;
        this.addresses = addresses;
        this.answerLife = answerLife;
        this.metrics = metrics;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
        FullHttpResponse answer = answer(request);
        answer.headers().set(HttpHeaderNames.CONTENT_LENGTH, answer.content().readableBytes());
        boolean isKept = HttpUtil.isKeepAlive(request);
        var written = context.writeAndFlush(answer);
        if (!isKept) {
            written.addListener(ChannelFutureListener.CLOSE);
        }
    }

    private FullHttpResponse answer(FullHttpRequest request) {
        if (request.decoderResult().isFailure()) {
            return answer(
                    HttpResponseStatus.BAD_REQUEST,
                    "text/plain",
                    "the request can't be read".getBytes(StandardCharsets.US_ASCII));
        }
        if (request.uri().equals(METRICS_PATH)) {
            return answer(HttpResponseStatus.OK, "text/plain; version=0.0.4", metrics.text());
        }
        Optional<DirectoryCall> call = dialect.readCall(request.uri());
        if (call.isEmpty()) {
            return answer(HttpResponseStatus.NOT_FOUND, "text/plain", new byte[0]);
        }
        return switch (call.get()) {
            case DirectoryCall.EntryHosts hosts -> entryHosts(hosts);
            case DirectoryCall.Readiness readiness ->
                answer(
                        isReady.getAsBoolean() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE,
                        "text/plain",
                        new byte[0]);
        };
    }

    private FullHttpResponse entryHosts(DirectoryCall.EntryHosts hosts) {
        List<String> usable = addresses.apply(hosts.zone());
        if (usable.isEmpty()) {
            return answer(HttpResponseStatus.SERVICE_UNAVAILABLE, "text/plain", new byte[0]);
        }
        return answer(HttpResponseStatus.OK, "application/json", dialect.addresses(usable, answerLife));
    }

    private static FullHttpResponse answer(HttpResponseStatus status, String type, byte[] body) {
        FullHttpResponse answer =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(body));
        answer.headers().set(HttpHeaderNames.CONTENT_TYPE, type);
        return answer;
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        // A caller that breaks off its question needs no answer.
        context.close();
    }
}
