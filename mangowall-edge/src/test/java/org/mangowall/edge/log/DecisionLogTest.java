package org.mangowall.edge.log;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.concurrent.CountDownLatch;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.mangowall.kernel.time.ManualClock;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

@Timeout(60)
class DecisionLogTest {

    private static final ManualClock CLOCK = new ManualClock(Instant.ofEpochMilli(1_000));

    @Test
    void eachEventIsALineOfJson() {
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        try (DecisionLog log = new DecisionLog(output, CLOCK, "h")) {
            log.write("placed", line -> line.writeStringField("request", "a \"quoted\"\nname"));
        }
        assertEquals(
                "{\"at\":1000,\"host\":\"h\",\"event\":\"placed\",\"request\":\"a \\\"quoted\\\"\\nname\"}\n",
                output.toString(StandardCharsets.UTF_8));
    }

    @Test
    void blockedOutputDropsLinesWithoutBlockingCallers() {
        CountDownLatch released = new CountDownLatch(1);
        OutputStream blocked = new OutputStream() {
            @Override
            public void write(int value) {
                try {
                    released.await();
                } catch (InterruptedException interruption) {
                    Thread.currentThread().interrupt();
                }
            }
        };
        DecisionLog log = new DecisionLog(blocked, CLOCK, "h");
        for (int line = 0; line < 30_000; line++) {
            log.write("placed", fields -> fields.writeNumberField("n", 1));
        }
        assertTrue(log.dropped() > 0);
        released.countDown();
        log.close();
    }

    /** Guards against a writer thread that ends unseen, so that nothing is logged any more. */
    @Test
    void anErrorOfTheOutputDoesNotStopTheWriter() {
        ByteArrayOutputStream written = new ByteArrayOutputStream();
        CountDownLatch hasFailed = new CountDownLatch(1);
        OutputStream failing = new OutputStream() {
            @Override
            public void write(byte[] bytes, int offset, int length) {
                if (hasFailed.getCount() > 0) {
                    hasFailed.countDown();
                    throw new NoClassDefFoundError("on purpose");
                }
                written.write(bytes, offset, length);
            }

            @Override
            public void write(int value) {
                written.write(value);
            }
        };
        DecisionLog log = new DecisionLog(failing, CLOCK, "h");
        log.write("first", line -> {});
        awaitLatch(hasFailed);
        log.write("second", line -> {});
        log.close();
        assertTrue(written.toString(StandardCharsets.UTF_8).contains("second"));
    }

    private static void awaitLatch(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException interruption) {
            Thread.currentThread().interrupt();
        }
    }
}
