package org.mangowall.standin.command;

/** A subcommand of the program; the command-line parser sets its options. */
interface StandInCommand {

    /** Runs until its work is done or the process is terminated; returns the exit code. */
    int run();
}
