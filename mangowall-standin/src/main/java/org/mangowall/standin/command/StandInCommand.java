package org.mangowall.standin.command;

/** One subcommand of the binary, filled by the command line's parser. */
interface StandInCommand {

    /** Runs until its work is done or the process is asked to end; gives the exit code. */
    int run();
}
