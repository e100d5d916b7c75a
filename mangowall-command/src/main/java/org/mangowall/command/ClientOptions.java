package org.mangowall.command;

import java.util.ArrayList;
import java.util.List;

import com.beust.jcommander.Parameter;

/** The options that all subcommands share, filled in by JCommander. */
public final class ClientOptions {

    @Parameter(
            names = {"--help", "-h"},
            help = true,
            description = "Show this help")
    private boolean help;

    @Parameter(
            names = "--routers",
            description = "Operator addresses of routers, such as 127.0.0.1:19301,127.0.0.1:19304; tried in this order")
    private List<String> routers = new ArrayList<>();

    @Parameter(names = "--settings", description = "A TOML file with routers, token_file, timeout and output")
    private String settingsFile;

    @Parameter(names = "--token-file", description = "A file with the operator token")
    private String tokenFile;

    @Parameter(names = "--timeout", description = "The longest time for one call, such as 3s")
    private String timeout;

    @Parameter(names = "--output", description = "text or json")
    private String output;

    /** Returns whether the help is requested instead of a run. */
    public boolean help() {
        return help;
    }

    /** Returns the router addresses as typed. */
    public List<String> routers() {
        return List.copyOf(routers);
    }

    /** Returns the settings file as typed, or null if it is not given. */
    public String settingsFile() {
        return settingsFile;
    }

    /** Returns the token file as typed, or null if it is not given. */
    public String tokenFile() {
        return tokenFile;
    }

    /** Returns the timeout as typed, or null if it is not given. */
    public String timeout() {
        return timeout;
    }

    /** Returns the output format as typed, or null if it is not given. */
    public String output() {
        return output;
    }
}
