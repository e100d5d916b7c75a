package org.mangowall.command.output;

import org.mangowall.kernel.failure.FailureCode;

/** The exit codes of the command line; they are part of the interface. */
public enum ExitCode {
    /** Done, or nothing was to be done. */
    DONE(0, "done, or nothing was to be done"),
    /** Refused; nothing was changed. */
    REFUSED(1, "refused, or another operator won; nothing was changed"),
    /** The command line, a file or a name in it is wrong. */
    INVALID_INPUT(2, "the command line or a file is wrong"),
    /** No router, or not the platform, could be reached. */
    UNREACHABLE(3, "no router or no platform can be reached; nothing was changed"),
    /** A fault in the program. */
    INTERNAL(4, "a fault in the program"),
    /** It is not known whether the change was accepted. */
    OUTCOME_UNKNOWN(5, "it is not known whether the change was accepted; repeat the command"),
    /** The change was accepted, but is not in force on all routers yet. */
    NOT_IN_FORCE_YET(6, "accepted, but not seen in force on all routers within the wait");

    private final int code;
    private final String meaning;

    ExitCode(int code, String meaning) {
        this.code = code;
        this.meaning = meaning;
    }

    /** The number that the process ends with. */
    public int code() {
        return code;
    }

    /** What it tells, for the help. */
    public String meaning() {
        return meaning;
    }

    /** The exit code that goes with a failure. */
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
