package org.mangowall.inventory.document;

import java.nio.file.Path;
import java.util.List;

import org.mangowall.inventory.AvailabilityZone;
import org.mangowall.inventory.Inventory;
import org.mangowall.inventory.Runner;
import org.mangowall.inventory.Service;
import org.mangowall.inventory.Workspace;
import org.mangowall.inventory.checked.CheckedTable;
import org.mangowall.inventory.checked.SettingsException;
import org.mangowall.kernel.name.ZoneName;

/**
 * The validated inventory as operators write it, with the rules kept separate.
 *
 * <p>The TOML that operators edit and the JSON that the platform stores have the same keys. Groups of runners are
 * expanded into single runners when a document is read.
 *
 * @param regions the regions with their availability zones
 * @param services the services
 * @param runners the runners, none of them marked as draining; {@code rules} lists the draining ones
 * @param workspaces the workspaces with the weights of the inventory file
 * @param rules changes by operators that override the entries
 */
public record InventoryDocument(
        List<RegionEntry> regions,
        List<Service> services,
        List<Runner> runners,
        List<Workspace> workspaces,
        RuleSet rules) {

    /** The smallest weight of a workspace. */
    public static final double MINIMUM_WEIGHT = 0.001;

    /** The largest weight of a workspace. */
    public static final double MAXIMUM_WEIGHT = 1000;

    /** Copies the lists. */
    public InventoryDocument {
        regions = List.copyOf(regions);
        services = List.copyOf(services);
        runners = List.copyOf(runners);
        workspaces = List.copyOf(workspaces);
    }

    /**
     * Reads and validates a TOML file.
     *
     * @throws SettingsException with all faults, if there are any
     */
    public static InventoryDocument readToml(Path file) {
        return InventoryReader.read(CheckedTable.readToml(file));
    }

    /**
     * Parses and validates TOML.
     *
     * @param source the name of the text in faults
     * @throws SettingsException with all faults, if there are any
     */
    public static InventoryDocument parseToml(String source, String text) {
        return InventoryReader.read(CheckedTable.parseToml(source, text));
    }

    /**
     * Parses and validates JSON.
     *
     * @throws SettingsException with all faults, if there are any
     */
    public static InventoryDocument parseJson(byte[] content) {
        return InventoryReader.read(CheckedTable.parseJson("inventory", content));
    }

    /** Writes the JSON that the platform stores; equal documents give equal bytes. */
    public byte[] toJson() {
        return JsonInventoryWriter.write(this);
    }

    /** Writes the TOML that operators edit. */
    public String toToml() {
        return TomlInventoryWriter.write(this);
    }

    /** Returns this document with other rules. */
    public InventoryDocument withRules(RuleSet other) {
        return new InventoryDocument(regions, services, runners, workspaces, other);
    }

    /** Builds the inventory of the given version by applying the rules. */
    public Inventory toInventory(long version) {
        Inventory.Builder builder = Inventory.builder(version);
        for (RegionEntry region : regions) {
            for (ZoneName zone : region.zones()) {
                boolean closed = rules.closedZones().contains(zone);
                builder.zone(new AvailabilityZone(zone, region.name(), closed));
            }
        }
        services.forEach(builder::service);
        runners.forEach(runner -> builder.runner(withDraining(runner)));
        workspaces.forEach(workspace -> builder.workspace(withWeight(workspace)));
        return builder.build();
    }

    private Runner withDraining(Runner runner) {
        if (!rules.drainingRunners().contains(runner.name())) {
            return runner;
        }
        return new Runner(
                runner.name(), runner.service(), runner.zone(), runner.host(), runner.port(), runner.slots(), true);
    }

    private Workspace withWeight(Workspace workspace) {
        double weight = rules.workspaceWeights().getOrDefault(workspace.name(), workspace.weight());
        return new Workspace(workspace.name(), weight);
    }
}
