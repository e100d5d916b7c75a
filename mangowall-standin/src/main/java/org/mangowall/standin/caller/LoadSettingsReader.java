package org.mangowall.standin.caller;

import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import org.mangowall.inventory.Service;
import org.mangowall.inventory.ServiceKind;
import org.mangowall.inventory.checked.CheckedTable;
import org.mangowall.inventory.document.InventoryDocument;

/** Reads {@link LoadSettings} from TOML. */
public final class LoadSettingsReader {

    private static final int MAXIMUM_CONCURRENCY = 4096;
    private static final double MAXIMUM_CALLS_PER_SECOND = 100_000;

    private final InventoryDocument inventory;

    private LoadSettingsReader(InventoryDocument inventory) {
        this.inventory = inventory;
    }

    /**
     * Reads a settings file; its inventory path is relative to the file.
     *
     * @throws org.mangowall.inventory.checked.SettingsException with all errors found
     */
    public static LoadSettings read(Path file) {
        CheckedTable root = CheckedTable.readToml(file);
        String inventoryFile = root.text("inventory");
        Path path = file.toAbsolutePath().resolveSibling(inventoryFile);
        return new LoadSettingsReader(InventoryDocument.readToml(path)).readAll(root);
    }

    private LoadSettings readAll(CheckedTable root) {
        List<LoadPlan> loads = new ArrayList<>();
        for (CheckedTable load : root.tables("loads")) {
            for (String workspace : load.texts("workspaces")) {
                loads.add(readLoad(load, workspace));
            }
        }
        LoadSettings settings = new LoadSettings(
                root.addresses("routers"),
                root.addresses("operators"),
                inventory,
                root.duration("warm_up", Duration.ZERO, Duration.ofHours(1), Duration.ofSeconds(5)),
                root.duration("duration", Duration.ofSeconds(1), Duration.ofHours(1), Duration.ofSeconds(20)),
                root.integer("seed", 0, Integer.MAX_VALUE, 1),
                loads);
        root.finish();
        return settings;
    }

    private LoadPlan readLoad(CheckedTable load, String workspace) {
        String service = load.text("service");
        return new LoadPlan(
                workspace,
                service,
                kindOf(load, service),
                load.integer("concurrency", 0, MAXIMUM_CONCURRENCY, 0),
                load.number("calls_per_second", 0.01, MAXIMUM_CALLS_PER_SECOND, 1.0),
                load.integer("max_tokens", 1, 4096, 64),
                load.integer("prompt_words", 2, 4096, 12),
                load.flag("stream", true),
                load.text("method", "POST"),
                load.flag("keyed", false),
                load.integer("tries", 1, 10, 1),
                load.flag("direct", false));
    }

    private ServiceKind kindOf(CheckedTable load, String name) {
        for (Service service : inventory.services()) {
            if (service.name().value().equals(name)) {
                return service.kind();
            }
        }
        load.fault("service", "a service of the inventory");
        return ServiceKind.PLAIN;
    }
}
