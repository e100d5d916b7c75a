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

class PeerSilenceTest {

    private static final int IDLE_PERIODS = 20;

    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final PeerConnection connection = new PeerConnection(channel, new RouterMetrics(), true, 1);

    PeerSilenceTest() {
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
    void theFirstRequestAfterIdlenessIsGivenItsHeartbeats() {
        beSilent(IDLE_PERIODS);
        connection.requestOpened();
        beSilent(1);
        assertTrue(channel.isActive());
    }

    @Test
    void aConnectionThatIgnoresHeartbeatsIsClosed() {
        connection.requestOpened();
        beSilent(PeerSettings.DEFAULTS.missedHeartbeats());
        assertTrue(channel.isActive());
        beSilent(1);
        assertFalse(channel.isActive());
    }

    private void beSilent(int periods) {
        for (int period = 0; period < periods; period++) {
            channel.pipeline().fireUserEventTriggered(IdleStateEvent.READER_IDLE_STATE_EVENT);
        }
    }
}
