package org.mangowall.router.peer;

import java.lang.reflect.Proxy;

import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.timeout.IdleStateEvent;
import org.junit.jupiter.api.Test;
import org.mangowall.kernel.name.RouterName;
import org.mangowall.kernel.name.ZoneName;
import org.mangowall.protocol.PeerFrameCodec;
import org.mangowall.protocol.PeerMessage;
import org.mangowall.router.PeerSettings;
import org.mangowall.router.metrics.RouterMetrics;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Checks how many silent heartbeat periods close a connection that has an open request. */
class PeerFrameHandlerTest {

    private static final int IDLE_PERIODS = 20;

    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final PeerConnection connection = new PeerConnection(channel, new RouterMetrics(), true, 1);

    PeerFrameHandlerTest() {
        PeerMessage.Hello hello = new PeerMessage.Hello(
                PeerFrameCodec.PROTOCOL_VERSION, new RouterName("router-1"), 1, new ZoneName("rennes"));
        PeerListener listener = (PeerListener) Proxy.newProxyInstance(
                PeerListener.class.getClassLoader(),
                new Class<?>[] {PeerListener.class},
                (proxy, method, arguments) -> null);
        channel.pipeline()
                .addLast(new PeerFrameHandler(connection, hello, PeerSettings.DEFAULTS, listener, new RouterMetrics()));
    }

    @Test
    void idlePeriodsBeforeARequestAreNotCountedAsMissedHeartbeats() {
        passIdlePeriods(IDLE_PERIODS);
        connection.requestOpened();
        passIdlePeriods(1);
        assertTrue(channel.isActive());
    }

    @Test
    void aConnectionThatMissesTooManyHeartbeatsIsClosed() {
        connection.requestOpened();
        passIdlePeriods(PeerSettings.DEFAULTS.missedHeartbeats());
        assertTrue(channel.isActive());
        passIdlePeriods(1);
        assertFalse(channel.isActive());
    }

    private void passIdlePeriods(int periods) {
        for (int period = 0; period < periods; period++) {
            channel.pipeline().fireUserEventTriggered(IdleStateEvent.READER_IDLE_STATE_EVENT);
        }
    }
}
