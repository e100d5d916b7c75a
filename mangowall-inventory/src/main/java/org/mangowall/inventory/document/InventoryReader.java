package org.mangowall.inventory.document;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Function;

import org.mangowall.inventory.Runner;
import org.mangowall.inventory.Service;
import org.mangowall.inventory.ServiceKind;
import org.mangowall.inventory.Workspace;
import org.mangowall.inventory.checked.CheckedTable;
import org.mangowall.kernel.failure.FailureCode;
import org.mangowall.kernel.failure.MangowallException;
import org.mangowall.kernel.name.RegionName;
import org.mangowall.kernel.name.RunnerName;
import org.mangowall.kernel.name.ServiceName;
import org.mangowall.kernel.name.WorkspaceName;
import org.mangowall.kernel.name.ZoneName;

/** Reads and validates an inventory; each instance reads one document. */
final class InventoryReader {

    private static final String NAME_FORMAT = "a name: 1 to 63 of a-z, 0-9, '.', '-', '_', first a letter or digit";
    private static final int MAXIMUM_START_LIMIT_REQUESTS = 10_000;
    private static final int MAXIMUM_WORKSPACE_QUEUE_REQUESTS = 100_000;
    private static final double MAXIMUM_TOKEN_COST = 1000;
    private static final Duration MINIMUM_TIMEOUT = Duration.ofMillis(10);
    private static final Duration MAXIMUM_TIMEOUT = Duration.ofHours(1);

    private final CheckedTable root;
    private final DefinedNames names = new DefinedNames();
    private final RunnerReader runnerReader = new RunnerReader(this, names);

    private InventoryReader(CheckedTable root) {
        this.root = root;
    }

    static InventoryDocument read(CheckedTable root) {
        return new InventoryReader(root).readAll();
    }

    private InventoryDocument readAll() {
        List<RegionEntry> regions = readEach("regions", this::readRegion);
        List<Service> services = readEach("services", this::readService);
        List<Runner> runners = new ArrayList<>();
        for (CheckedTable table : root.tables("runners")) {
            runners.addAll(runnerReader.read(table));
        }
        List<Workspace> workspaces = readEach("workspaces", this::readWorkspace);
        RuleSet rules = readRules(root.table("rules"));
        requireNonEmpty("regions", regions);
        requireNonEmpty("services", services);
        requireNonEmpty("workspaces", workspaces);
        root.finish(FailureCode.INVENTORY_INVALID);
        return new InventoryDocument(regions, services, runners, workspaces, rules);
    }

    /** Reads a name; empty after a fault. */
    <T> Optional<T> name(CheckedTable table, String key, Function<String, T> factory) {
        String text = table.text(key);
        if (text.isEmpty()) {
            return Optional.empty();
        }
        return name(table, key, text, factory);
    }

    private <T> Optional<T> name(CheckedTable table, String key, String text, Function<String, T> factory) {
        try {
            return Optional.of(factory.apply(text));
        } catch (MangowallException invalid) {
            table.fault(key, NAME_FORMAT);
            return Optional.empty();
        }
    }

    private <T> List<T> readEach(String key, Function<CheckedTable, Optional<T>> reader) {
        List<T> entries = new ArrayList<>();
        for (CheckedTable table : root.tables(key)) {
            reader.apply(table).ifPresent(entries::add);
        }
        return entries;
    }

    private void requireNonEmpty(String key, List<?> entries) {
        if (entries.isEmpty() && root.tables(key).isEmpty()) {
            root.fault(key, "at least one [[" + key + "]]");
        }
    }

    private Optional<RegionEntry> readRegion(CheckedTable table) {
        Optional<RegionName> name = name(table, "name", RegionName::new);
        name.ifPresent(value -> names.define(table, "name", "region", value));
        List<ZoneName> zones = new ArrayList<>();
        for (String text : table.texts("availability_zones")) {
            name(table, "availability_zones", text, ZoneName::new).ifPresent(zone -> {
                names.define(table, "availability_zones", "availability zone", zone);
                zones.add(zone);
            });
        }
        if (zones.isEmpty()) {
            table.fault("availability_zones", "at least one availability zone");
        }
        return name.map(value -> new RegionEntry(value, zones));
    }

    private Optional<Service> readService(CheckedTable table) {
        Optional<ServiceName> name = name(table, "name", ServiceName::new);
        name.ifPresent(value -> names.define(table, "name", "service", value));
        ServiceKind kind = readKind(table);
        Service defaults = Service.withDefaults(new ServiceName("defaults"), kind);
        int startLimit = table.integer("start_limit", 1, MAXIMUM_START_LIMIT_REQUESTS, defaults.startLimit());
        int queueLimit = table.integer(
                "workspace_queue_limit", 1, MAXIMUM_WORKSPACE_QUEUE_REQUESTS, defaults.workspaceQueueLimit());
        Duration queueTimeout = readTimeout(table, "queue_timeout", defaults.queueTimeout());
        Duration firstProgress = readTimeout(table, "first_progress_timeout", defaults.firstProgressTimeout());
        Duration progress = readTimeout(table, "progress_timeout", defaults.progressTimeout());
        double promptCost = table.number("prompt_token_cost", 0, MAXIMUM_TOKEN_COST, defaults.promptTokenCost());
        double outputCost = table.number("output_token_cost", 0, MAXIMUM_TOKEN_COST, defaults.outputTokenCost());
        if (promptCost + outputCost <= 0) {
            table.fault("output_token_cost", "a cost above 0 for prompt or output tokens");
        }
        return name.map(value -> new Service(
                value, kind, startLimit, queueLimit, queueTimeout, firstProgress, progress, promptCost, outputCost));
    }

    private static ServiceKind readKind(CheckedTable table) {
        return switch (table.text("kind")) {
            case "model" -> ServiceKind.MODEL;
            case "plain" -> ServiceKind.PLAIN;
            default -> {
                table.fault("kind", "\"model\" or \"plain\"");
                yield ServiceKind.PLAIN;
            }
        };
    }

    private static Duration readTimeout(CheckedTable table, String key, Duration defaultValue) {
        return table.duration(key, MINIMUM_TIMEOUT, MAXIMUM_TIMEOUT, defaultValue);
    }

    private Optional<Workspace> readWorkspace(CheckedTable table) {
        Optional<WorkspaceName> name = name(table, "name", WorkspaceName::new);
        name.ifPresent(value -> names.define(table, "name", "workspace", value));
        double weight = table.number("weight", InventoryDocument.MINIMUM_WEIGHT, InventoryDocument.MAXIMUM_WEIGHT, 1);
        return name.map(value -> new Workspace(value, weight));
    }

    private RuleSet readRules(CheckedTable table) {
        SortedSet<ZoneName> zones = new TreeSet<>();
        for (String text : table.texts("closed_zones")) {
            reference(table, "closed_zones", "availability zone", text, ZoneName::new)
                    .ifPresent(zones::add);
        }
        SortedSet<RunnerName> runners = new TreeSet<>();
        for (String text : table.texts("draining_runners")) {
            reference(table, "draining_runners", "runner", text, RunnerName::new)
                    .ifPresent(runners::add);
        }
        SortedMap<WorkspaceName, Double> weights = new TreeMap<>();
        CheckedTable weightTable = table.table("workspace_weights");
        for (String key : weightTable.keys()) {
            double weight =
                    weightTable.number(key, InventoryDocument.MINIMUM_WEIGHT, InventoryDocument.MAXIMUM_WEIGHT, 1);
            reference(weightTable, key, "workspace", key, WorkspaceName::new)
                    .ifPresent(workspace -> weights.put(workspace, weight));
        }
        return new RuleSet(zones, runners, weights);
    }

    private <T> Optional<T> reference(
            CheckedTable table, String key, String kind, String text, Function<String, T> factory) {
        Optional<T> name = name(table, key, text, factory);
        name.ifPresent(value -> names.requireDefined(table, key, kind, value));
        return name;
    }
}
