package org.mangowall.command;

import java.util.ArrayList;
import java.util.List;

import com.beust.jcommander.Parameter;

/** The options that all subcommands share; JCommander fills them. */
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

    /** Whether only the help is asked for. */
    public boolean help() {
        return help;
    }

    /** The addresses as typed. */
    public List<String> routers() {
        return List.copyOf(routers);
    }

    /** The settings file as typed, or null. */
    public String settingsFile() {
        return settingsFile;
    }

    /** The token file as typed, or null. */
    public String tokenFile() {
        return tokenFile;
    }

    /** The timeout as typed, or null. */
    public String timeout() {
        return timeout;
    }

    /** The output format as typed, or null. */
    public String output() {
        return output;
    }
}
