package org.mangowall.command;

import java.util.List;

import org.mangowall.command.output.Report;
import org.mangowall.kernel.plugin.Plugin;

/**
 * A subcommand of the command line; operators type the plug-in's name to run it.
 *
 * <p>JCommander fills in the fields of the plug-in, so an instance can be used for one run only. The description for
 * the help is in the annotation {@link com.beust.jcommander.Parameters}.
 */
public interface Subcommand extends Plugin {

    /** Returns the options of this run. */
    ClientOptions options();

    /** Returns example command lines for the help. */
    List<String> examples();

    /**
     * Runs the subcommand.
     *
     * @throws org.mangowall.kernel.failure.MangowallException when the subcommand fails
     */
    Report run(CommandContext context);
}
