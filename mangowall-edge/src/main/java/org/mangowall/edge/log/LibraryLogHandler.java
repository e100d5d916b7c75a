package org.mangowall.edge.log;

import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/**
 * Writes what libraries log as lines of the decision log.
 *
 * <p>The runtime's own handler formats local times, for which it reads a file when the first record comes. Without a
 * free descriptor that fails with an {@link Error} in whatever thread logs, such as the network thread.
 */
public final class LibraryLogHandler extends Handler {

    private final DecisionLog log;

    private LibraryLogHandler(DecisionLog log) {
        this.log = log;
        setLevel(Level.WARNING);
    }

    /** Replaces the handlers of the process. */
    public static void install(DecisionLog log) {
        Logger root = Logger.getLogger("");
        for (Handler handler : root.getHandlers()) {
            root.removeHandler(handler);
        }
        root.addHandler(new LibraryLogHandler(log));
    }

    @Override
    public void publish(LogRecord record) {
        if (!isLoggable(record)) {
            return;
        }
        log.write("library", line -> {
            line.writeStringField("logger", record.getLoggerName());
            line.writeStringField("reason", String.valueOf(record.getMessage()));
            line.writeStringField("failure", String.valueOf(record.getThrown()));
        });
    }

    @Override
    public void flush() {
        // The decision log writes its lines by itself.
    }

    @Override
    public void close() {
        // The decision log is closed by the program.
    }
}
