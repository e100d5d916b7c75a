package org.mangowall.command.subcommand;

import java.time.Duration;

import com.beust.jcommander.Parameter;
import org.mangowall.command.ClientSettingsReader;

/** The option that limits how long a subcommand waits for its change to be in force. */
final class WaitOption {

    @Parameter(
            names = "--wait",
            description = "How long to wait until the change is in force on all named routers; 0s does not wait")
    private String wait = "18s";

    Duration duration() {
        return ClientSettingsReader.parseDuration("--wait", wait);
    }
}
