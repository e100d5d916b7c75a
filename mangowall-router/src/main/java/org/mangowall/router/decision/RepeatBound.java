package org.mangowall.router.decision;

import org.mangowall.kernel.log.PartLog;

/** Bounds how many lines of one kind are logged in a second, and says how many were left out; for one thread. */
final class RepeatBound {

    private static final long SECOND_MILLIS = 1000;

    private final int linesPerSecond;
    private final PartLog log;
    private long secondStartMillis;
    private int lines;

    RepeatBound(int linesPerSecond, PartLog log) {
        this.linesPerSecond = linesPerSecond;
        this.log = log;
    }

    boolean allows(long nowMillis) {
        if (nowMillis - secondStartMillis >= SECOND_MILLIS) {
            if (lines > linesPerSecond) {
                log.info("%s more refusals were not logged", lines - linesPerSecond);
            }
            secondStartMillis = nowMillis;
            lines = 0;
        }
        lines++;
        return lines <= linesPerSecond;
    }
}
