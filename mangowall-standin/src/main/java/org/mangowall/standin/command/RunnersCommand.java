package org.mangowall.standin.command;

import java.nio.file.Path;
import java.time.Duration;
import java.util.EnumSet;
import java.util.Set;

import com.beust.jcommander.Parameter;
import io.netty.channel.nio.NioEventLoopGroup;
import org.mangowall.inventory.ServiceKind;
import org.mangowall.inventory.checked.CheckedTable;
import org.mangowall.inventory.document.InventoryDocument;
import org.mangowall.kernel.time.MonotonicClock;
import org.mangowall.standin.farm.FarmSettings;
import org.mangowall.standin.farm.RunnerFarm;

/** Runs stand-ins for the runners of one service kind of an inventory. */
abstract class RunnersCommand implements StandInCommand {

    private final ServiceKind kind;

    @Parameter(
            names = "--inventory",
            required = true,
            description = "The inventory in TOML with the runners to simulate")
    private String inventory;

    @Parameter(names = "--settings", description = "A settings file in TOML, tables [model] and [plain]")
    private String settings;

    @Parameter(names = "--threads", description = "The number of threads that run the runners")
    private int threads = 2;

    RunnersCommand(ServiceKind kind) {
        this.kind = kind;
    }

    @Override
    public int run() {
        InventoryDocument document = InventoryDocument.readToml(Path.of(inventory));
        FarmSettings farmSettings = settings == null
                ? FarmSettings.withDefaults()
                : StandInSettingsReader.readFarm(CheckedTable.readToml(Path.of(settings)));
        Set<ServiceKind> kinds = EnumSet.of(kind);
        RunnerFarm farm = RunnerFarm.start(
                document, kinds, farmSettings, new NioEventLoopGroup(Math.max(1, threads)), new MonotonicClock());
        System.out.println(farm.runners().size() + " runners listen");
        ProcessShutdown.runUntilShutdown(farm, Duration.ZERO);
        return ExitCodes.OK;
    }
}
