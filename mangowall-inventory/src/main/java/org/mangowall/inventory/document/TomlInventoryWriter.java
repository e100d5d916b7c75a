package org.mangowall.inventory.document;

import java.util.Collection;
import java.util.stream.Collectors;

import org.mangowall.inventory.Runner;
import org.mangowall.inventory.Service;
import org.mangowall.inventory.Workspace;
import org.mangowall.inventory.checked.HostAndPort;

/**
 * Writes an inventory document as TOML, with one table for each entry in the order of the document.
 *
 * <p>Strings are written without escapes, since names, addresses and durations contain no characters that need them.
 */
final class TomlInventoryWriter {

    private final StringBuilder text = new StringBuilder();

    private TomlInventoryWriter() {}

    static String write(InventoryDocument document) {
        TomlInventoryWriter writer = new TomlInventoryWriter();
        document.regions().forEach(writer::writeRegion);
        document.services().forEach(writer::writeService);
        document.runners().forEach(writer::writeRunner);
        document.workspaces().forEach(writer::writeWorkspace);
        writer.writeRules(document.rules());
        return writer.text.toString();
    }

    private void writeRegion(RegionEntry region) {
        startEntry("regions");
        quoted("name", region.name());
        quotedList("availability_zones", region.zones());
        endTable();
    }

    private void writeService(Service service) {
        startEntry("services");
        quoted("name", service.name());
        quoted("kind", JsonInventoryWriter.kindText(service));
        plain("start_limit", service.startLimit());
        plain("workspace_queue_limit", service.workspaceQueueLimit());
        quoted("queue_timeout", JsonInventoryWriter.durationText(service.queueTimeout()));
        quoted("first_progress_timeout", JsonInventoryWriter.durationText(service.firstProgressTimeout()));
        quoted("progress_timeout", JsonInventoryWriter.durationText(service.progressTimeout()));
        plain("prompt_token_cost", service.promptTokenCost());
        plain("output_token_cost", service.outputTokenCost());
        endTable();
    }

    private void writeRunner(Runner runner) {
        startEntry("runners");
        quoted("name", runner.name());
        quoted("service", runner.service());
        quoted("zone", runner.zone());
        quoted("address", new HostAndPort(runner.host(), runner.port()));
        plain("slots", runner.slots());
        endTable();
    }

    private void writeWorkspace(Workspace workspace) {
        startEntry("workspaces");
        quoted("name", workspace.name());
        plain("weight", workspace.weight());
        endTable();
    }

    private void writeRules(RuleSet rules) {
        text.append("[rules]\n");
        quotedList("closed_zones", rules.closedZones());
        quotedList("draining_runners", rules.drainingRunners());
        if (rules.workspaceWeights().isEmpty()) {
            return;
        }
        text.append("\n[rules.workspace_weights]\n");
        rules.workspaceWeights().forEach((workspace, weight) -> plain("\"" + workspace + "\"", weight));
    }

    private void startEntry(String list) {
        text.append("[[").append(list).append("]]\n");
    }

    private void endTable() {
        text.append('\n');
    }

    private void quoted(String key, Object value) {
        plain(key, "\"" + value + "\"");
    }

    private void quotedList(String key, Collection<?> values) {
        plain(key, values.stream().map(value -> "\"" + value + "\"").collect(Collectors.joining(", ", "[", "]")));
    }

    private void plain(String key, Object value) {
        text.append(key).append(" = ").append(value).append('\n');
    }
}
