package org.mangowall.inventory.document;

import java.time.Duration;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.mangowall.inventory.Runner;
import org.mangowall.inventory.Service;
import org.mangowall.inventory.Workspace;
import org.mangowall.inventory.checked.HostAndPort;
import org.mangowall.inventory.checked.UnitSyntax;
import org.mangowall.kernel.failure.FailureCode;
import org.mangowall.kernel.failure.MangowallException;

/** Writes an inventory document as JSON. */
final class JsonInventoryWriter {

    private static final ObjectMapper JSON = JsonMapper.builder().build();

    private JsonInventoryWriter() {}

    static byte[] write(InventoryDocument document) {
        ObjectNode root = JSON.createObjectNode();
        ArrayNode regions = root.putArray("regions");
        document.regions().forEach(region -> writeRegion(regions.addObject(), region));
        ArrayNode services = root.putArray("services");
        document.services().forEach(service -> writeService(services.addObject(), service));
        ArrayNode runners = root.putArray("runners");
        document.runners().forEach(runner -> writeRunner(runners.addObject(), runner));
        ArrayNode workspaces = root.putArray("workspaces");
        document.workspaces().forEach(workspace -> writeWorkspace(workspaces.addObject(), workspace));
        writeRules(root.putObject("rules"), document.rules());
        try {
            return JSON.writeValueAsBytes(root);
        } catch (JsonProcessingException failure) {
            throw new MangowallException(FailureCode.INTERNAL, "the inventory can't be written as JSON", failure);
        }
    }

    private static void writeRegion(ObjectNode node, RegionEntry region) {
        node.put("name", region.name().value());
        ArrayNode zones = node.putArray("availability_zones");
        region.zones().forEach(zone -> zones.add(zone.value()));
    }

    private static void writeService(ObjectNode node, Service service) {
        node.put("name", service.name().value());
        node.put("kind", kindText(service));
        node.put("start_limit", service.startLimit());
        node.put("workspace_queue_limit", service.workspaceQueueLimit());
        node.put("queue_timeout", durationText(service.queueTimeout()));
        node.put("first_progress_timeout", durationText(service.firstProgressTimeout()));
        node.put("progress_timeout", durationText(service.progressTimeout()));
        node.put("prompt_token_cost", service.promptTokenCost());
        node.put("output_token_cost", service.outputTokenCost());
    }

    private static void writeRunner(ObjectNode node, Runner runner) {
        node.put("name", runner.name().value());
        node.put("service", runner.service().value());
        node.put("zone", runner.zone().value());
        node.put("address", new HostAndPort(runner.host(), runner.port()).toString());
        node.put("slots", runner.slots());
    }

    private static void writeWorkspace(ObjectNode node, Workspace workspace) {
        node.put("name", workspace.name().value());
        node.put("weight", workspace.weight());
    }

    private static void writeRules(ObjectNode node, RuleSet rules) {
        ArrayNode zones = node.putArray("closed_zones");
        rules.closedZones().forEach(zone -> zones.add(zone.value()));
        ArrayNode runners = node.putArray("draining_runners");
        rules.drainingRunners().forEach(runner -> runners.add(runner.value()));
        ObjectNode weights = node.putObject("workspace_weights");
        rules.workspaceWeights().forEach((workspace, weight) -> weights.put(workspace.value(), weight));
    }

    static String kindText(Service service) {
        return switch (service.kind()) {
            case MODEL -> "model";
            case PLAIN -> "plain";
        };
    }

    static String durationText(Duration duration) {
        return UnitSyntax.formatDuration(duration);
    }
}
