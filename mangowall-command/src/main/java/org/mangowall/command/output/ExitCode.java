package org.mangowall.command.output;

import org.mangowall.kernel.failure.FailureCode;

/** The exit codes of the command line, which scripts rely on. */
public enum ExitCode {
    /** The command succeeded or had nothing to change. */
    DONE(0, "done, or nothing was to be done"),
    /** The command was refused or lost a conflict with another operator; nothing was changed. */
    REFUSED(1, "refused, or another operator won; nothing was changed"),
    /** An argument, a file or a name in it is invalid. */
    INVALID_INPUT(2, "the command line or a file is wrong"),
    /** No router could be reached, or no router could reach the platform; nothing was changed. */
    UNREACHABLE(3, "no router or no platform can be reached; nothing was changed"),
    /** An internal error. */
    INTERNAL(4, "a fault in the program"),
    /** It is not known whether the change was accepted. */
    OUTCOME_UNKNOWN(5, "it is not known whether the change was accepted; repeat the command"),
    /** The change was accepted, but was not in force on all routers within the wait time. */
    NOT_IN_FORCE_YET(6, "accepted, but not seen in force on all routers within the wait");

    private final int code;
    private final String meaning;

    ExitCode(int code, String meaning) {
        this.code = code;
        this.meaning = meaning;
    }

    /** Returns the exit status of the process. */
    public int code() {
        return code;
    }

    /** Returns the description for the help. */
    public String meaning() {
        return meaning;
    }

    /** Returns the exit code for a failure. */
    public static ExitCode of(FailureCode failureCode) {
        return switch (failureCode) {
            case USAGE, SETTINGS_INVALID, INVENTORY_INVALID, INVALID_NAME -> INVALID_INPUT;
            case ROUTERS_UNREACHABLE, NOT_READY, ROUTER_LEAVING, ROUTER_BUSY -> UNREACHABLE;
            case PLATFORM_UNAVAILABLE, PLATFORM_RATE_LIMITED -> UNREACHABLE;
            case PLATFORM_ANSWER_LOST -> OUTCOME_UNKNOWN;
            case INTERNAL -> INTERNAL;
            default -> REFUSED;
        };
    }
}
