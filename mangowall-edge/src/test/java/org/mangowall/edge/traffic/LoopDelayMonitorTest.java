package org.mangowall.edge.traffic;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import io.netty.channel.embedded.EmbeddedChannel;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

class LoopDelayMonitorTest {

    private static final long MILLI = 1_000_000L;

    @Test
    void theLongestDelayOfEachSecondIsReported() {
        EmbeddedChannel channel = new EmbeddedChannel();
        channel.freezeTime();
        AtomicLong now = new AtomicLong();
        List<Long> reported = new ArrayList<>();
        new LoopDelayMonitor(channel.eventLoop(), now::get).start(reported::add);
        for (int probe = 0; probe < 20; probe++) {
            long delayMillis = probe == 4 ? 250 : 0;
            now.addAndGet((100 + delayMillis) * MILLI);
            channel.advanceTimeBy(100, TimeUnit.MILLISECONDS);
            channel.runScheduledPendingTasks();
        }
        assertEquals(List.of(250 * MILLI, 0L), reported);
        channel.finishAndReleaseAll();
    }
}
