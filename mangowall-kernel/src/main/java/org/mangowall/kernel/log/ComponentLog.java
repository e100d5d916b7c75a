package org.mangowall.kernel.log;

import org.jboss.logging.Logger;

/** A logger whose messages all begin with the name of one component. */
public final class ComponentLog {

    private final Logger logger;
    private final String prefix;

    private ComponentLog(Logger logger, String prefix) {
        this.logger = logger;
        this.prefix = prefix;
    }

    /** Returns the logger of a component, whose name is one lower-case word such as {@code entry}. */
    public static ComponentLog of(String component) {
        return new ComponentLog(Logger.getLogger("org.mangowall." + component), component + ": ");
    }

    /** Logs a message with {@code %s} placeholders at level INFO. */
    public void info(String format, Object... values) {
        logger.infof(prefix + format, values);
    }

    /** Logs a message with {@code %s} placeholders at level WARN. */
    public void warn(String format, Object... values) {
        logger.warnf(prefix + format, values);
    }

    /** Logs a message with {@code %s} placeholders and an exception at level ERROR. */
    public void error(Throwable failure, String format, Object... values) {
        logger.errorf(failure, prefix + format, values);
    }

    /** Logs a message with {@code %s} placeholders at level DEBUG. */
    public void debug(String format, Object... values) {
        logger.debugf(prefix + format, values);
    }
}
