package org.mangowall.command.change;

import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.stream.Collectors;

import org.mangowall.inventory.AvailabilityZone;
import org.mangowall.inventory.Inventory;
import org.mangowall.inventory.Runner;
import org.mangowall.inventory.Service;
import org.mangowall.inventory.Workspace;
import org.mangowall.inventory.checked.HostAndPort;
import org.mangowall.inventory.checked.UnitSyntax;
import org.mangowall.inventory.document.InventoryDocument;
import org.mangowall.kernel.name.ZoneName;

/** Converts an inventory, with its rules applied, into entries with text fields that can be compared. */
final class InventoryFields {

    private static final long NO_VERSION = 0;

    private InventoryFields() {}

    static SortedMap<EntryKey, Map<String, String>> of(InventoryDocument document) {
        SortedMap<EntryKey, Map<String, String>> entries = new TreeMap<>();
        document.regions().forEach(region -> {
            String zones = region.zones().stream().map(ZoneName::value).sorted().collect(Collectors.joining(" "));
            entries.put(new EntryKey(EntryKind.REGION, region.name().value()), Map.of("availability_zones", zones));
        });
        Inventory inventory = document.toInventory(NO_VERSION);
        inventory
                .zones()
                .forEach((name, zone) ->
                        entries.put(new EntryKey(EntryKind.AVAILABILITY_ZONE, name.value()), fields(zone)));
        inventory
                .services()
                .forEach(
                        (name, service) -> entries.put(new EntryKey(EntryKind.SERVICE, name.value()), fields(service)));
        inventory
                .runners()
                .forEach((name, runner) -> entries.put(new EntryKey(EntryKind.RUNNER, name.value()), fields(runner)));
        inventory
                .workspaces()
                .forEach((name, workspace) ->
                        entries.put(new EntryKey(EntryKind.WORKSPACE, name.value()), fields(workspace)));
        return entries;
    }

    private static Map<String, String> fields(AvailabilityZone zone) {
        return Map.of("state", zone.closed() ? "closed" : "open");
    }

    private static Map<String, String> fields(Service service) {
        Map<String, String> fields = new LinkedHashMap<>();
        fields.put("kind", service.kind().name().toLowerCase(Locale.ROOT));
        fields.put("start_limit", Integer.toString(service.startLimit()));
        fields.put("workspace_queue_limit", Integer.toString(service.workspaceQueueLimit()));
        fields.put("queue_timeout", UnitSyntax.formatDuration(service.queueTimeout()));
        fields.put("first_progress_timeout", UnitSyntax.formatDuration(service.firstProgressTimeout()));
        fields.put("progress_timeout", UnitSyntax.formatDuration(service.progressTimeout()));
        fields.put("prompt_token_cost", Double.toString(service.promptTokenCost()));
        fields.put("output_token_cost", Double.toString(service.outputTokenCost()));
        return fields;
    }

    private static Map<String, String> fields(Runner runner) {
        Map<String, String> fields = new LinkedHashMap<>();
        fields.put("service", runner.service().value());
        fields.put("zone", runner.zone().value());
        fields.put("address", new HostAndPort(runner.host(), runner.port()).toString());
        fields.put("slots", Integer.toString(runner.slots()));
        fields.put("state", runner.draining() ? "draining" : "in service");
        return fields;
    }

    private static Map<String, String> fields(Workspace workspace) {
        return Map.of("weight", Double.toString(workspace.weight()));
    }
}
