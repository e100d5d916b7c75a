package org.mangowall.edge.traffic;

import java.util.concurrent.TimeUnit;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import org.mangowall.edge.log.GuardedTask;

/**
 * Goes on after a failure to accept connections, mostly for want of a descriptor.
 *
 * <p>Accepting pauses, since the connection still waits and the next try would fail at once.
 */
@ChannelHandler.Sharable
public final class AcceptFailureHandler extends ChannelInboundHandlerAdapter {

    private static final long PAUSE_MILLIS = 100;
    private static final long LOG_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final EdgeContext context;
    private final CallerRoom room;
    private int failuresSinceLine;
    private long lastLineAt;

    /** Creates the handler of a listening socket. */
    public AcceptFailureHandler(EdgeContext context, CallerRoom room) {
        this.context = context;
        this.room = room;
        this.lastLineAt = context.now() - LOG_INTERVAL_NANOS;
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext handlerContext, Throwable cause) {
        Channel listener = handlerContext.channel();
        listener.config().setAutoRead(false);
        GuardedTask resume = new GuardedTask(
                context.log(), "accepting", () -> listener.config().setAutoRead(true));
        listener.eventLoop().schedule(resume, PAUSE_MILLIS, TimeUnit.MILLISECONDS);
        context.metrics().countAcceptFailure();
        failuresSinceLine += 1;
        writeLine(listener, cause);
        room.descriptorsRanOut();
    }

    private void writeLine(Channel listener, Throwable cause) {
        long now = context.now();
        if (now - lastLineAt < LOG_INTERVAL_NANOS) {
            return;
        }
        int failures = failuresSinceLine;
        failuresSinceLine = 0;
        lastLineAt = now;
        context.log().write("accept-failed", line -> {
            line.writeStringField("address", String.valueOf(listener.localAddress()));
            line.writeStringField("reason", String.valueOf(cause));
            line.writeNumberField("failures", failures);
        });
    }
}
