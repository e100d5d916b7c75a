package org.mangowall.command;

import java.util.List;

import org.mangowall.command.output.Report;
import org.mangowall.kernel.plugin.Plugin;

/**
 * One subcommand of the command line; the plug-in's name is the word that operators type.
 *
 * <p>JCommander fills the fields of the plug-in, so one instance serves one run. The description for the help stands in
 * the annotation {@link com.beust.jcommander.Parameters}.
 */
public interface Subcommand extends Plugin {

    /** The options that this run was given. */
    ClientOptions options();

    /** Lines that an operator might type, for the help. */
    List<String> examples();

    /**
     * Does the work.
     *
     * @throws org.mangowall.kernel.failure.MangowallException when it can't be done
     */
    Report run(CommandContext context);
}
