package org.mangowall.standin.command;

/** The exit codes of the program. */
final class ExitCodes {

    static final int OK = 0;
    static final int FAILED = 1;
    static final int USAGE = 2;

    private ExitCodes() {}
}
