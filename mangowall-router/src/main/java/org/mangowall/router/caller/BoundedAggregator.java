package org.mangowall.router.caller;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequest;
import org.mangowall.kernel.failure.FailureCode;

/** Collects a request up to the largest size of a body, and answers a larger one with a typed failure. */
public final class BoundedAggregator extends HttpObjectAggregator {

    /** Takes bodies up to the given size. */
    public BoundedAggregator(int maximumBodyBytes) {
        super(maximumBodyBytes, true);
    }

    @Override
    protected void handleOversizedMessage(ChannelHandlerContext context, HttpMessage oversized) {
        CallerExchange exchange = new CallerExchange(context.channel(), (HttpRequest) oversized, () -> {});
        exchange.closeAfterAnswer();
        exchange.fail(Problem.of(FailureCode.BODY_TOO_LARGE, "the body may have " + maxContentLength() + " bytes"));
    }
}
