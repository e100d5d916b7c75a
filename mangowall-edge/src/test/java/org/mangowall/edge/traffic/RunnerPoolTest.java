package org.mangowall.edge.traffic;

import java.net.InetSocketAddress;
import java.time.Duration;

import io.netty.channel.embedded.EmbeddedChannel;
import org.junit.jupiter.api.Test;
import org.mangowall.edge.model.RunnerEntry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against a lowered limit of a runner's connections that isn't in force on those that are open. */
class RunnerPoolTest {

    private final RunnerPool pool = new RunnerPool(
            new RunnerEntry("r", 0, "plain", "v1", new InetSocketAddress("127.0.0.1", 1), "a", 1, false, Duration.ZERO),
            () -> 0L,
            place -> {});

    private RunnerConnection connect() {
        RunnerConnection connection = new RunnerConnection(new PlainMessages(), pool);
        connection.addTo(new EmbeddedChannel().pipeline());
        pool.connected(connection);
        return connection;
    }

    @Test
    void idleConnectionsAboveTheLimitAreClosed() {
        RunnerConnection busy = connect();
        RunnerConnection longestIdle = connect();
        RunnerConnection idle = connect();
        pool.release(longestIdle);
        pool.release(idle);
        pool.closeIdleAbove(3);
        assertEquals(3, pool.size());
        pool.closeIdleAbove(2);
        assertTrue(busy.isOpen() && idle.isOpen() && !longestIdle.isOpen());
        pool.closeIdleAbove(0);
        assertTrue(busy.isOpen() && !idle.isOpen());
        assertEquals(1, pool.size());
    }
}
