package org.mangowall.router;

import com.beust.jcommander.Parameter;

/** Command-line options of the router. */
final class RouterArguments {

    @Parameter(names = "--settings", description = "The settings file in TOML", order = 0)
    private String settings;

    @Parameter(names = "--check", description = "Only check the settings file", order = 1)
    private boolean check;

    @Parameter(names = "--help", help = true, description = "Show this help", order = 2)
    private boolean help;

    String settings() {
        return settings;
    }

    boolean check() {
        return check;
    }

    boolean help() {
        return help;
    }
}
