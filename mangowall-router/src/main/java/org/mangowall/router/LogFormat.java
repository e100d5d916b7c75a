package org.mangowall.router;

/** Format of log lines. */
public enum LogFormat {
    /** One line of text per record. */
    TEXT,
    /** One JSON object per line and record. */
    JSON
}
