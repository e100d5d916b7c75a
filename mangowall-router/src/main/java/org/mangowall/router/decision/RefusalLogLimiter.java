package org.mangowall.router.decision;

import org.mangowall.kernel.log.ComponentLog;

/** Limits the log lines for refused requests per second and logs how many it suppressed; not thread-safe. */
final class RefusalLogLimiter {

    private static final long WINDOW_MILLIS = 1000;

    private final int maximumLinesPerSecond;
    private final ComponentLog log;
    private long windowStartMillis;
    private int windowLines;

    RefusalLogLimiter(int maximumLinesPerSecond, ComponentLog log) {
        this.maximumLinesPerSecond = maximumLinesPerSecond;
        this.log = log;
    }

    boolean tryAcquire(long nowMillis) {
        if (nowMillis - windowStartMillis >= WINDOW_MILLIS) {
            if (windowLines > maximumLinesPerSecond) {
                log.info("suppressed %s further log lines for refused requests", windowLines - maximumLinesPerSecond);
            }
            windowStartMillis = nowMillis;
            windowLines = 0;
        }
        windowLines++;
        return windowLines <= maximumLinesPerSecond;
    }
}
