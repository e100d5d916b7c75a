package org.mangowall.command.output;

/** The format in which a report is printed. */
public enum OutputFormat {
    /** Sentences and tables for people. */
    TEXT,
    /** One JSON document for programs. */
    JSON
}
