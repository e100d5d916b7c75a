package org.mangowall.standin.command;

import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** Waits for the shutdown of the process and closes a resource within the shutdown hook. */
final class ProcessShutdown {

    private ProcessShutdown() {}

    /** Waits for the process to be terminated, or for a non-zero time limit, and closes the resource. */
    static void runUntilShutdown(AutoCloseable resource, Duration timeLimit) {
        CountDownLatch closed = new CountDownLatch(1);
        Thread hook = new Thread(() -> closeAndSignal(resource, closed), "standin-shutdown");
        Runtime.getRuntime().addShutdownHook(hook);
        try {
            if (timeLimit.isZero()) {
                closed.await();
                return;
            }
            if (closed.await(timeLimit.toNanos(), TimeUnit.NANOSECONDS)) {
                return;
            }
            Runtime.getRuntime().removeShutdownHook(hook);
            closeAndSignal(resource, closed);
        } catch (InterruptedException interruption) {
            Thread.currentThread().interrupt();
        }
    }

    private static void closeAndSignal(AutoCloseable resource, CountDownLatch closed) {
        try {
            resource.close();
        } catch (Exception failure) {
            System.err.println("mangowall-standin: shutdown failed: " + failure);
        } finally {
            closed.countDown();
        }
    }
}
