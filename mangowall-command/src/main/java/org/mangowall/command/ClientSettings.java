package org.mangowall.command;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

import org.mangowall.command.output.OutputFormat;
import org.mangowall.inventory.checked.HostAndPort;

/**
 * What a run of the command line works with, from the settings file and the options; options go first.
 *
 * @param routers the operator addresses of routers, in the order in which they are tried
 * @param tokenFile the file with the operator token
 * @param timeout the longest time for one call
 * @param output how reports are printed
 */
public record ClientSettings(
        List<HostAndPort> routers, Optional<Path> tokenFile, Duration timeout, OutputFormat output) {

    /** Copies the list. */
    public ClientSettings {
        routers = List.copyOf(routers);
    }
}
