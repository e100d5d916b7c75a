package org.mangowall.command;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

import org.mangowall.command.output.OutputFormat;
import org.mangowall.inventory.checked.HostAndPort;

/**
 * The settings of one run, merged from the settings file and the options; options take precedence.
 *
 * @param routers the operator addresses of routers, in the order in which they are tried
 * @param tokenFile the file with the operator token, if one is given
 * @param timeout the longest time for one call
 * @param output the format in which reports are printed
 */
public record ClientSettings(
        List<HostAndPort> routers, Optional<Path> tokenFile, Duration timeout, OutputFormat output) {

    /** Makes the list immutable. */
    public ClientSettings {
        routers = List.copyOf(routers);
    }
}
