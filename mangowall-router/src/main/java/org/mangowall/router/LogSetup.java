package org.mangowall.router;

import java.util.logging.ConsoleHandler;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;

/** Configures the logging of the process. */
final class LogSetup {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private LogSetup() {}

    static void apply(LogFormat format) {
        LogManager.getLogManager().reset();
        Logger root = Logger.getLogger("");
        for (Handler existing : root.getHandlers()) {
            root.removeHandler(existing);
        }
        Handler handler = new ConsoleHandler();
        handler.setLevel(Level.INFO);
        handler.setFormatter(format == LogFormat.JSON ? new JsonLineFormatter() : new TextLineFormatter());
        root.addHandler(handler);
        root.setLevel(Level.INFO);
    }

    private static final class TextLineFormatter extends Formatter {

        @Override
        public String format(LogRecord record) {
            String failure = record.getThrown() == null ? "" : ": " + record.getThrown();
            return record.getInstant() + " " + record.getLevel() + " " + formatMessage(record) + failure + "\n";
        }
    }

    private static final class JsonLineFormatter extends Formatter {

        @Override
        public String format(LogRecord record) {
            var line = MAPPER.createObjectNode();
            line.put("time", record.getInstant().toString());
            line.put("level", record.getLevel().toString());
            line.put("message", formatMessage(record));
            if (record.getThrown() != null) {
                line.put("failure", record.getThrown().toString());
            }
            try {
                return MAPPER.writeValueAsString(line) + "\n";
            } catch (JsonProcessingException failure) {
                return "{}\n";
            }
        }
    }
}
