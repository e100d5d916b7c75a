package org.mangowall.router;

/** The shape of log lines. */
public enum LogFormat {
    /** One line of text for each record. */
    TEXT,
    /** One JSON object for each record. */
    JSON
}
