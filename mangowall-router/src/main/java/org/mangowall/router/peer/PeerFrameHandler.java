package org.mangowall.router.peer;

import java.io.IOException;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.timeout.IdleStateEvent;
import org.mangowall.kernel.log.ComponentLog;
import org.mangowall.protocol.FrameException;
import org.mangowall.protocol.MessageType;
import org.mangowall.protocol.PeerFrame;
import org.mangowall.protocol.PeerFrameCodec;
import org.mangowall.protocol.PeerMessage;
import org.mangowall.router.PeerSettings;
import org.mangowall.router.metrics.RouterMetrics;

/** Exchanges hello messages, validates and dispatches the frames of one connection, and closes an unresponsive one. */
final class PeerFrameHandler extends SimpleChannelInboundHandler<ByteBuf> {

    private static final ComponentLog LOG = ComponentLog.of("peer");
    private static final int ACCEPTED_IDLE_TIMEOUT_FACTOR = 4;

    private final PeerConnection connection;
    private final PeerMessage.Hello ownHello;
    private final PeerSettings settings;
    private final PeerListener listener;
    private final RouterMetrics metrics;
    private int idlePeriods;
    private int unansweredHeartbeats;
    private long heartbeatSequence;

    PeerFrameHandler(
            PeerConnection connection,
            PeerMessage.Hello ownHello,
            PeerSettings settings,
            PeerListener listener,
            RouterMetrics metrics) {
        this.connection = connection;
        this.ownHello = ownHello;
        this.settings = settings;
        this.listener = listener;
        this.metrics = metrics;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        if (connection.isOutgoing()) {
            connection.send(ownHello);
        }
        context.executor()
                .schedule(
                        () -> closeWithoutHello(context),
                        settings.connectTimeout().toMillis(),
                        TimeUnit.MILLISECONDS);
        context.fireChannelActive();
    }

    private void closeWithoutHello(ChannelHandlerContext context) {
        if (connection.remoteHello() == null && context.channel().isActive()) {
            reject(context, "no-hello");
        }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, ByteBuf buffer) {
        byte[] bytes = new byte[buffer.readableBytes()];
        buffer.readBytes(bytes);
        idlePeriods = 0;
        unansweredHeartbeats = 0;
        PeerFrame frame = PeerFrameCodec.decode(bytes);
        MessageType type = MessageType.of(frame.message());
        metrics.frameReceived(type, bytes.length + PeerFrameCodec.LENGTH_BYTES);
        if (connection.remoteHello() == null) {
            handleHello(context, frame);
            return;
        }
        if (frame.connectionEpoch() != connection.epoch()) {
            metrics.lateFrameDropped(type);
            return;
        }
        dispatch(context, frame.message());
    }

    private void handleHello(ChannelHandlerContext context, PeerFrame frame) {
        if (!(frame.message() instanceof PeerMessage.Hello hello)) {
            reject(context, "no-hello");
            return;
        }
        if (hello.protocolVersion() != PeerFrameCodec.PROTOCOL_VERSION) {
            reject(context, "protocol-version");
            return;
        }
        if (connection.isOutgoing() && frame.connectionEpoch() != connection.epoch()) {
            reject(context, "connection-epoch");
            return;
        }
        connection.helloReceived(hello, frame.connectionEpoch());
        if (!connection.isOutgoing()) {
            connection.send(ownHello);
        }
        listener.connected(connection);
    }

    private void dispatch(ChannelHandlerContext context, PeerMessage message) {
        if (message instanceof PeerMessage.Heartbeat heartbeat) {
            answerHeartbeat(heartbeat);
            return;
        }
        if (message instanceof PeerMessage.Hello) {
            reject(context, "second-hello");
            return;
        }
        listener.received(connection, message);
    }

    private void answerHeartbeat(PeerMessage.Heartbeat heartbeat) {
        if (heartbeat.replyExpected()) {
            connection.send(new PeerMessage.Heartbeat(heartbeat.sequence(), false));
        }
    }

    private void reject(ChannelHandlerContext context, String reason) {
        metrics.invalidFrameReceived(reason);
        LOG.warn("closing the connection to %s: %s", connection, reason);
        context.close();
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event instanceof IdleStateEvent) {
            handleReadIdle(context);
        }
    }

    private void handleReadIdle(ChannelHandlerContext context) {
        if (connection.openRequests() > 0) {
            idlePeriods = 0;
            checkHeartbeat(context);
            return;
        }
        unansweredHeartbeats = 0;
        idlePeriods++;
        long idleMillis = settings.heartbeatPeriod().toMillis() * idlePeriods;
        if (idleMillis >= idleTimeoutMillis() && listener.mayClose(connection)) {
            context.close();
        }
    }

    /** The opening side closes an idle connection; the accepting side does so later, in case the opener is gone. */
    private long idleTimeoutMillis() {
        long timeoutMillis = settings.idleTimeout().toMillis();
        return connection.isOutgoing() ? timeoutMillis : timeoutMillis * ACCEPTED_IDLE_TIMEOUT_FACTOR;
    }

    private void checkHeartbeat(ChannelHandlerContext context) {
        if (unansweredHeartbeats >= settings.missedHeartbeats()) {
            metrics.silentConnectionClosed("peer");
            LOG.warn("closing the unresponsive connection to %s", connection);
            context.close();
            return;
        }
        unansweredHeartbeats++;
        heartbeatSequence++;
        connection.send(new PeerMessage.Heartbeat(heartbeatSequence, true));
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (connection.remoteHello() != null) {
            listener.writabilityChanged(connection);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        listener.disconnected(connection);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable failure) {
        if (failure instanceof FrameException || failure instanceof TooLongFrameException) {
            reject(context, "frame-invalid");
            return;
        }
        if (!(failure instanceof IOException)) {
            LOG.error(failure, "the connection to %s failed", connection);
        }
        context.close();
    }
}
