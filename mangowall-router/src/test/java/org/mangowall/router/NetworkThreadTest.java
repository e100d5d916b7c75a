package org.mangowall.router;

import java.net.URI;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.mangowall.kernel.name.RouterName;
import org.mangowall.kernel.name.ZoneName;
import org.mangowall.kernel.time.MonotonicClock;
import org.mangowall.platform.memory.InMemoryPlatform;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against a router that goes on without one of its network threads. */
class NetworkThreadTest {

    private final MonotonicClock clock = new MonotonicClock();
    private final RouterComponents components = new RouterComponents(
            RouterSettings.embedded(new RouterName("router-1"), new ZoneName("zone-1"), URI.create("http://none"))
                    .withPlugins("round-robin", "polling"),
            new InMemoryPlatform(clock),
            clock);

    @Test
    void theEndOfANetworkThreadIsReported() throws Exception {
        components.start();
        components.networkThreads().next().shutdownGracefully();
        components.networkThreadEnd().get(30, TimeUnit.SECONDS);
        assertTrue(components.networkThreadEnd().isDone());
        components.close();
    }

    @Test
    void theEndOfARouterIsNoEndOfANetworkThread() {
        components.start();
        components.close();
        components.networkThreads().terminationFuture().syncUninterruptibly();
        assertFalse(components.networkThreadEnd().isDone());
    }
}
