package org.mangowall.command.subcommand;

import java.util.List;
import java.util.Objects;

import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import org.mangowall.command.ClientOptions;
import org.mangowall.command.CommandContext;
import org.mangowall.command.Subcommand;
import org.mangowall.command.output.Json;
import org.mangowall.command.output.Report;

/** Prints the version of the program. */
@Parameters(commandDescription = "Print the version of this program")
public final class VersionCommand implements Subcommand {

    /** The version of a build that was not packaged as a JAR. */
    private static final String DEVELOPMENT_VERSION = "development";

    @ParametersDelegate
    private final ClientOptions options = new ClientOptions();

    @Override
    public String pluginName() {
        return "version";
    }

    @Override
    public ClientOptions options() {
        return options;
    }

    @Override
    public List<String> examples() {
        return List.of("mangowall version");
    }

    @Override
    public Report run(CommandContext context) {
        String version = Objects.requireNonNullElse(
                VersionCommand.class.getPackage().getImplementationVersion(), DEVELOPMENT_VERSION);
        return Report.success("mangowall " + version, Json.object().put("version", version));
    }
}
