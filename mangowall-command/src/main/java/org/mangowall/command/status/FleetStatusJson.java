package org.mangowall.command.status;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.mangowall.command.output.Json;
import org.mangowall.protocol.operator.RouterStatusDocument;

/** Writes the fleet view for programs. */
public final class FleetStatusJson {

    private FleetStatusJson() {}

    /** Writes the document. */
    public static ObjectNode write(FleetStatus fleet) {
        ObjectNode root = Json.object();
        ArrayNode routers = root.putArray("routers");
        fleet.routers().forEach(router -> writeRouter(routers.addObject(), router));
        ArrayNode silent = root.putArray("silent_routers");
        fleet.silentRouters()
                .forEach(router -> silent.addObject()
                        .put("address", router.address().toString())
                        .put("code", router.failure().failureCode().code())
                        .put("detail", router.failure().getMessage()));
        ArrayNode unnamed = root.putArray("members_not_asked");
        fleet.unnamedMembers()
                .forEach(member -> unnamed.addObject()
                        .put("name", member.name())
                        .put("zone", member.zone())
                        .put("state", member.state()));
        ArrayNode zones = root.putArray("availability_zones");
        fleet.inventory()
                .ifPresent(inventory -> inventory
                        .zones()
                        .values()
                        .forEach(zone -> zones.addObject()
                                .put("name", zone.name().value())
                                .put("region", zone.region().value())
                                .put("closed", zone.closed())));
        ArrayNode runners = root.putArray("runners");
        fleet.runners().forEach(line -> writeRunner(runners.addObject(), line));
        ArrayNode services = root.putArray("services");
        fleet.services().forEach(line -> writeService(services.addObject(), line));
        ArrayNode workspaces = root.putArray("workspaces");
        fleet.workspaces().forEach(line -> writeWorkspace(workspaces.addObject(), line));
        return root;
    }

    private static void writeRouter(ObjectNode node, RouterStatusDocument router) {
        node.put("name", router.router())
                .put("zone", router.zone())
                .put("incarnation", router.incarnation())
                .put("state", router.state())
                .put("ready", router.ready())
                .put("configuration_version", router.configurationVersion());
    }

    private static void writeRunner(ObjectNode node, FleetStatus.RunnerLine line) {
        RouterStatusDocument.Runner runner = line.runner();
        node.put("name", runner.name())
                .put("service", runner.service())
                .put("zone", runner.zone())
                .put("home", line.home())
                .put("limit", runner.limit())
                .put("running", runner.running())
                .put("reported", runner.reported())
                .put("open", runner.open());
    }

    private static void writeService(ObjectNode node, ServiceLine line) {
        node.put("name", line.name())
                .put("free_slots", line.freeSlots())
                .put("waiting", line.waiting())
                .put("gap", line.gap())
                .put("gap_bound", line.gapBound());
    }

    private static void writeWorkspace(ObjectNode node, WorkspaceLine line) {
        node.put("service", line.service())
                .put("workspace", line.workspace())
                .put("weight", line.weight())
                .put("share", line.share())
                .put("served", line.served())
                .put("waiting", line.waiting());
    }
}
