package org.mangowall.router.operator;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.CompletionException;

import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.mangowall.inventory.document.InventoryDocument;
import org.mangowall.kernel.failure.FailureCode;
import org.mangowall.kernel.failure.MangowallException;
import org.mangowall.kernel.log.ComponentLog;
import org.mangowall.platform.VersionedObject;
import org.mangowall.router.caller.Problem;
import org.mangowall.router.spi.ConfigurationAccess;

/** Answers the requests of operators, as {@code docs/operator-protocol.md} specifies them. */
final class OperatorHandler extends SimpleChannelInboundHandler<FullHttpRequest> {

    private static final ComponentLog LOG = ComponentLog.of("operator");
    private static final String JSON = "application/json";
    private static final String EXPLAIN_PREFIX = "/mangowall/explain/";
    private static final String VERSION_HEADER = "x-object-version";
    private static final String EXPECTED_VERSION_HEADER = "x-expected-version";

    private final OperatorDocuments documents;
    private final PrometheusRegistry metrics;
    private final ConfigurationAccess configuration;
    private final OperatorToken token;

    OperatorHandler(
            OperatorDocuments documents,
            PrometheusRegistry metrics,
            ConfigurationAccess configuration,
            OperatorToken token) {
        this.documents = documents;
        this.metrics = metrics;
        this.configuration = configuration;
        this.token = token;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
        boolean keepAlive = HttpUtil.isKeepAlive(request);
        ResponseWriter response = new ResponseWriter(context, keepAlive);
        try {
            dispatch(request, response);
        } catch (MangowallException failure) {
            response.fail(failure);
        } catch (IOException failure) {
            response.fail(new MangowallException(FailureCode.INTERNAL, "metrics can't be written", failure));
        }
    }

    private void dispatch(FullHttpRequest request, ResponseWriter response) throws IOException {
        if (request.decoderResult().isFailure()) {
            throw new MangowallException(FailureCode.MALFORMED_REQUEST, "this is not a request of HTTP/1.1");
        }
        String path = request.uri();
        if (path.equals("/metrics")) {
            response.write(HttpResponseStatus.OK, PrometheusTextFormatWriter.CONTENT_TYPE, writeMetrics(), 0);
            return;
        }
        if (!token.isAuthorized(request.headers().get(HttpHeaderNames.AUTHORIZATION))) {
            throw new MangowallException(FailureCode.NOT_AUTHENTICATED, "the operators' token is missing or wrong");
        }
        if (path.equals("/mangowall/status")) {
            response.write(
                    HttpResponseStatus.OK, JSON, documents.statusDocument().toJson(), 0);
        } else if (path.startsWith(EXPLAIN_PREFIX)) {
            String identifier = path.substring(EXPLAIN_PREFIX.length());
            response.write(
                    HttpResponseStatus.OK,
                    JSON,
                    documents.explanation(identifier).toJson(),
                    0);
        } else if (path.equals("/mangowall/configuration")) {
            handleConfiguration(request, response);
        } else {
            throw new MangowallException(FailureCode.PATH_UNKNOWN, "no such path");
        }
    }

    private byte[] writeMetrics() throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        PrometheusTextFormatWriter.create().write(bytes, metrics.scrape());
        return bytes.toByteArray();
    }

    private void handleConfiguration(FullHttpRequest request, ResponseWriter response) {
        if (request.method().equals(HttpMethod.GET)) {
            configuration
                    .current()
                    .whenComplete((found, failure) -> writeConfigurationResponse(response, found, failure));
            return;
        }
        if (!request.method().equals(HttpMethod.PUT)) {
            throw new MangowallException(FailureCode.PATH_UNKNOWN, "the configuration takes GET and PUT");
        }
        long expected = parseExpectedVersion(request.headers().get(EXPECTED_VERSION_HEADER));
        byte[] document = InventoryDocument.parseJson(ByteBufUtil.getBytes(request.content()))
                .toJson();
        configuration.write(expected, document).whenComplete((version, failure) -> {
            if (failure != null) {
                response.fail(toMangowallException(failure));
                return;
            }
            LOG.info("configuration version %s written by an operator", version);
            response.write(HttpResponseStatus.OK, JSON, new byte[0], version);
        });
    }

    private static long parseExpectedVersion(String text) {
        try {
            return Long.parseLong(text == null ? "" : text.strip());
        } catch (NumberFormatException failure) {
            throw new MangowallException(
                    FailureCode.MALFORMED_REQUEST, "the header " + EXPECTED_VERSION_HEADER + " must be a number");
        }
    }

    private static void writeConfigurationResponse(
            ResponseWriter response, Optional<VersionedObject> found, Throwable failure) {
        if (failure != null) {
            response.fail(toMangowallException(failure));
        } else if (found.isEmpty()) {
            response.fail(new MangowallException(FailureCode.PLATFORM_OBJECT_MISSING, "there is no configuration yet"));
        } else {
            response.write(
                    HttpResponseStatus.OK,
                    JSON,
                    found.get().content(),
                    found.get().version());
        }
    }

    private static MangowallException toMangowallException(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        if (cause instanceof MangowallException known) {
            return known;
        }
        return new MangowallException(FailureCode.INTERNAL, "the call failed", cause);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable failure) {
        context.close();
    }

    /** Writes the response to one request. */
    private record ResponseWriter(ChannelHandlerContext context, boolean keepAlive) {

        void write(HttpResponseStatus status, String mediaType, byte[] body, long version) {
            FullHttpResponse message =
                    new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(body));
            message.headers().set(HttpHeaderNames.CONTENT_TYPE, mediaType);
            message.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
            if (version > 0) {
                message.headers().set(VERSION_HEADER, version);
            }
            HttpUtil.setKeepAlive(message, keepAlive);
            var written = context.channel().writeAndFlush(message);
            if (!keepAlive) {
                written.addListener(ChannelFutureListener.CLOSE);
            }
        }

        void fail(MangowallException failure) {
            Problem problem = Problem.of(failure.failureCode(), failure.getMessage());
            HttpResponseStatus status =
                    HttpResponseStatus.valueOf(failure.failureCode().httpStatus());
            write(status, Problem.MEDIA_TYPE, problem.toJson(), 0);
        }
    }
}
