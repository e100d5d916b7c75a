package org.mangowall.edge.traffic;

import java.nio.charset.StandardCharsets;
import java.util.Locale;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import org.mangowall.kernel.failure.FailureCode;

/** Creates the error responses of this host, as problem details (RFC 9457). */
final class ProblemResponse {

    private static final double MILLIS_PER_SECOND = 1_000;
    /** What held the request up, such as a burst, may be over by then. */
    private static final double MIN_RETRY_AFTER_MILLIS = 200;

    private ProblemResponse() {}

    /**
     * Creates a response.
     *
     * @param retryAfterMillis when the caller should come back; 0 for what is usual for the code
     */
    static FullHttpResponse create(FailureCode code, double retryAfterMillis, boolean closesConnection) {
        String text = String.format(
                Locale.ROOT,
                "{\"type\":\"about:blank\",\"status\":%d,\"code\":\"%s\",\"outcome\":\"%s\"}",
                code.httpStatus(),
                code.code(),
                code.outcome().name().toLowerCase(Locale.ROOT).replace('_', '-'));
        ByteBuf body = Unpooled.wrappedBuffer(text.getBytes(StandardCharsets.US_ASCII));
        FullHttpResponse response =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(code.httpStatus()), body);
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/problem+json");
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
        double comeBackMillis = retryAfterMillis > 0 ? retryAfterMillis : usualRetryAfterMillis(code);
        if (comeBackMillis > 0) {
            response.headers()
                    .set(
                            HttpHeaderNames.RETRY_AFTER,
                            String.format(Locale.ROOT, "%.3f", comeBackMillis / MILLIS_PER_SECOND));
        }
        if (closesConnection) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        return response;
    }

    /** Each status that promises that the request hasn't run, and that it may be sent again, tells when. */
    private static double usualRetryAfterMillis(FailureCode code) {
        return switch (code.httpStatus()) {
            case 408, 421, 429, 503 -> Math.max(RequestResolver.retryAfterMillis(code), MIN_RETRY_AFTER_MILLIS);
            default -> 0;
        };
    }
}
