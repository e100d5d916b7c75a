package org.mangowall.command.output;

import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * The result of a subcommand in both output formats.
 *
 * @param exitCode the exit code of the process
 * @param text the text output, without a trailing line feed
 * @param json the JSON output
 */
public record Report(ExitCode exitCode, String text, ObjectNode json) {

    /** Creates a report with {@link ExitCode#DONE}. */
    public static Report success(String text, ObjectNode json) {
        return new Report(ExitCode.DONE, text, json);
    }
}
