package org.mangowall.standin.command;

import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** Waits for the end of the process and closes what it has started, within the shutdown hook. */
final class ProcessEnd {

    private ProcessEnd() {}

    /** Keeps the part until the process is asked to end, or until the time is over when it is above zero. */
    static void keepUntilEnd(AutoCloseable part, Duration time) {
        CountDownLatch ended = new CountDownLatch(1);
        Thread hook = new Thread(() -> closeAndSignal(part, ended), "standin-shutdown");
        Runtime.getRuntime().addShutdownHook(hook);
        try {
            if (time.isZero()) {
                ended.await();
                return;
            }
            if (ended.await(time.toNanos(), TimeUnit.NANOSECONDS)) {
                return;
            }
            Runtime.getRuntime().removeShutdownHook(hook);
            closeAndSignal(part, ended);
        } catch (InterruptedException interruption) {
            Thread.currentThread().interrupt();
        }
    }

    private static void closeAndSignal(AutoCloseable part, CountDownLatch ended) {
        try {
            part.close();
        } catch (Exception failure) {
            System.err.println("mangowall-standin: the end was not clean: " + failure);
        } finally {
            ended.countDown();
        }
    }
}
