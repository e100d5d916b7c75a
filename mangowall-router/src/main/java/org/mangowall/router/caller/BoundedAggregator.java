package org.mangowall.router.caller;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import org.mangowall.kernel.failure.FailureCode;
import org.mangowall.kernel.failure.RequestOutcome;

/** Aggregates a request with its body and answers 413 with a problem document when the body is too large. */
public final class BoundedAggregator extends HttpObjectAggregator {

    /** Creates an aggregator for bodies of up to {@code maximumBodyBytes} bytes. */
    public BoundedAggregator(int maximumBodyBytes) {
        super(maximumBodyBytes, true);
    }

    @Override
    protected Object newContinueResponse(HttpMessage start, int maximumBodyBytes, ChannelPipeline pipeline) {
        Object continueResponse = super.newContinueResponse(start, maximumBodyBytes, pipeline);
        boolean tooLarge = continueResponse instanceof FullHttpResponse response
                && response.status().equals(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
        return tooLarge ? contentTooLargeResponse() : continueResponse;
    }

    private FullHttpResponse contentTooLargeResponse() {
        byte[] document = tooLargeProblem().toJson();
        FullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, Unpooled.wrappedBuffer(document));
        response.headers()
                .set(HttpHeaderNames.CONTENT_TYPE, Problem.MEDIA_TYPE)
                .set(HttpHeaderNames.CONTENT_LENGTH, document.length)
                .set(CallerExchange.OUTCOME_HEADER, RequestOutcome.NOT_RUN.text());
        return response;
    }

    private Problem tooLargeProblem() {
        return Problem.of(FailureCode.BODY_TOO_LARGE, "the body may have " + maxContentLength() + " bytes");
    }

    @Override
    protected void handleOversizedMessage(ChannelHandlerContext context, HttpMessage oversized) {
        CallerExchange exchange = new CallerExchange(context.channel(), (HttpRequest) oversized, answered -> {});
        exchange.closeAfterAnswer();
        exchange.fail(tooLargeProblem());
    }
}
