package org.mangowall.kernel.log;

import org.jboss.logging.Logger;

/** A logger whose lines all begin with the fixed prefix of one part of the program. */
public final class PartLog {

    private final Logger logger;
    private final String prefix;

    private PartLog(Logger logger, String prefix) {
        this.logger = logger;
        this.prefix = prefix;
    }

    /** Makes the log of a part; the part's name is one word in lower case, such as {@code entry}. */
    public static PartLog of(String part) {
        return new PartLog(Logger.getLogger("org.mangowall." + part), part + ": ");
    }

    /** Logs a sentence with {@code %s} places at level INFO. */
    public void info(String format, Object... values) {
        logger.infof(prefix + format, values);
    }

    /** Logs a sentence with {@code %s} places at level WARN. */
    public void warn(String format, Object... values) {
        logger.warnf(prefix + format, values);
    }

    /** Logs a sentence and the failure behind it at level ERROR. */
    public void error(Throwable failure, String format, Object... values) {
        logger.errorf(failure, prefix + format, values);
    }

    /** Logs a sentence with {@code %s} places at level DEBUG. */
    public void debug(String format, Object... values) {
        logger.debugf(prefix + format, values);
    }
}
