package org.mangowall.router.caller;

import java.time.Duration;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import org.mangowall.kernel.failure.FailureCode;

/** Answers a request that does not arrive completely within the timeout with a failure and closes its connection. */
final class RequestReadTimeoutHandler extends ChannelInboundHandlerAdapter {

    private final long timeoutMillis;
    private Future<?> timeout;

    RequestReadTimeoutHandler(Duration timeout) {
        this.timeoutMillis = timeout.toMillis();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (message instanceof HttpRequest request) {
            cancelTimeout();
            timeout =
                    context.executor().schedule(() -> timeOut(context, request), timeoutMillis, TimeUnit.MILLISECONDS);
        }
        if (message instanceof LastHttpContent) {
            cancelTimeout();
        }
        context.fireChannelRead(message);
    }

    private static void timeOut(ChannelHandlerContext context, HttpRequest request) {
        CallerExchange exchange = new CallerExchange(context.channel(), request, answered -> {});
        exchange.closeAfterAnswer();
        exchange.fail(Problem.of(FailureCode.MALFORMED_REQUEST, "the request did not arrive in time"));
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        cancelTimeout();
        context.fireChannelInactive();
    }

    private void cancelTimeout() {
        if (timeout != null) {
            timeout.cancel(false);
            timeout = null;
        }
    }
}
