package org.mangowall.standin.command;

import java.nio.file.Path;
import java.time.Duration;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.netty.channel.nio.NioEventLoopGroup;
import org.mangowall.inventory.checked.CheckedTable;
import org.mangowall.kernel.time.MonotonicClock;
import org.mangowall.standin.platform.PlatformStandIn;

/** Runs a platform stand-in. */
@Parameters(commandDescription = "Run a platform: objects with versions, watches and the list of hosts")
final class PlatformCommand implements StandInCommand {

    @Parameter(names = "--settings", required = true, description = "The settings file in TOML, table [platform]")
    private String settings;

    @Override
    public int run() {
        CheckedTable root = CheckedTable.readToml(Path.of(settings));
        var platformSettings = StandInSettingsReader.readPlatform(root);
        NioEventLoopGroup eventLoops = new NioEventLoopGroup(1);
        PlatformStandIn platform = PlatformStandIn.start(platformSettings, eventLoops.next(), new MonotonicClock());
        System.out.println("platform stand-in listens on port " + platform.port());
        ProcessShutdown.runUntilShutdown(platform, Duration.ZERO);
        return ExitCodes.OK;
    }
}
