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

/** Serves the directory of entry hosts to callers, the readiness check to the platform, and the metrics. */
final class DirectoryHandler extends SimpleChannelInboundHandler<FullHttpRequest> {

    private static final String METRICS_PATH = "/metrics";

    private final DirectoryCodec codec;
    private final BooleanSupplier isReady;
    private final Function<String, List<String>> addressesByZone;
    private final Duration cacheTime;
    private final EdgeMetrics metrics;

    DirectoryHandler(
            DirectoryCodec codec,
            BooleanSupplier isReady,
            Function<String, List<String>> addressesByZone,
            Duration cacheTime,
            EdgeMetrics metrics) {
        this.codec = codec;
        this.isReady = isReady;
        this.addressesByZone = addressesByZone;
        this.cacheTime = cacheTime;
        this.metrics = metrics;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
        FullHttpResponse response = response(request);
        response.headers()
                .set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
        boolean isPersistent = HttpUtil.isKeepAlive(request);
        var written = context.writeAndFlush(response);
        if (!isPersistent) {
            written.addListener(ChannelFutureListener.CLOSE);
        }
    }

    private FullHttpResponse response(FullHttpRequest request) {
        if (request.decoderResult().isFailure()) {
            return response(
                    HttpResponseStatus.BAD_REQUEST,
                    "text/plain",
                    "the request can't be read".getBytes(StandardCharsets.US_ASCII));
        }
        if (request.uri().equals(METRICS_PATH)) {
            return response(HttpResponseStatus.OK, "text/plain; version=0.0.4", metrics.text());
        }
        Optional<DirectoryCall> call = codec.readCall(request.uri());
        if (call.isEmpty()) {
            return response(HttpResponseStatus.NOT_FOUND, "text/plain", new byte[0]);
        }
        return switch (call.get()) {
            case DirectoryCall.EntryHosts query -> entryHosts(query);
            case DirectoryCall.Readiness readiness ->
                response(
                        isReady.getAsBoolean() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE,
                        "text/plain",
                        new byte[0]);
        };
    }

    private FullHttpResponse entryHosts(DirectoryCall.EntryHosts query) {
        List<String> usable = addressesByZone.apply(query.zone());
        if (usable.isEmpty()) {
            return response(HttpResponseStatus.SERVICE_UNAVAILABLE, "text/plain", new byte[0]);
        }
        return response(HttpResponseStatus.OK, "application/json", codec.addresses(usable, cacheTime));
    }

    private static FullHttpResponse response(HttpResponseStatus status, String type, byte[] body) {
        FullHttpResponse response =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(body));
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, type);
        return response;
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        // The caller aborted its request, so it needs no response.
        context.close();
    }
}
