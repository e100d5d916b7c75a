package org.mangowall.command.output;

import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * What a subcommand has to say.
 *
 * @param exitCode the exit code of the process
 * @param text for people, without a line end
 * @param json the same for programs
 */
public record Report(ExitCode exitCode, String text, ObjectNode json) {

    /** A report of success. */
    public static Report done(String text, ObjectNode json) {
        return new Report(ExitCode.DONE, text, json);
    }
}
