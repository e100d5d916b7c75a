package org.mangowall.router.caller;

import java.time.Duration;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import org.mangowall.kernel.failure.FailureCode;

/** Ends connections whose requests arrive too slowly. */
final class RequestReadTimer extends ChannelInboundHandlerAdapter {

    private final long timeoutMillis;
    private Future<?> timeout;

    RequestReadTimer(Duration timeout) {
        this.timeoutMillis = timeout.toMillis();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (message instanceof HttpRequest request) {
            stop();
            timeout = context.executor().schedule(() -> refuse(context, request), timeoutMillis, TimeUnit.MILLISECONDS);
        }
        if (message instanceof LastHttpContent) {
            stop();
        }
        context.fireChannelRead(message);
    }

    private static void refuse(ChannelHandlerContext context, HttpRequest request) {
        CallerExchange exchange = new CallerExchange(context.channel(), request, answered -> {});
        exchange.closeAfterAnswer();
        exchange.fail(Problem.of(FailureCode.MALFORMED_REQUEST, "the request did not arrive in time"));
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        stop();
        context.fireChannelInactive();
    }

    private void stop() {
        if (timeout != null) {
            timeout.cancel(false);
            timeout = null;
        }
    }
}
