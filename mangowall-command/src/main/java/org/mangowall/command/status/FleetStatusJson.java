package org.mangowall.command.status;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.mangowall.command.output.Json;
import org.mangowall.protocol.operator.RouterStatusDocument;

/** Formats the status of the fleet as JSON. */
public final class FleetStatusJson {

    private FleetStatusJson() {}

    /** Converts the status into a JSON document. */
    public static ObjectNode write(FleetStatus fleet) {
        ObjectNode root = Json.object();
        ArrayNode routers = root.putArray("routers");
        fleet.routers().forEach(router -> writeRouter(routers.addObject(), router));
        ArrayNode unavailableRouters = root.putArray("silent_routers");
        fleet.unavailableRouters()
                .forEach(router -> unavailableRouters
                        .addObject()
                        .put("address", router.address().toString())
                        .put("code", router.failure().failureCode().code())
                        .put("detail", router.failure().getMessage()));
        ArrayNode membersWithoutStatus = root.putArray("members_not_asked");
        fleet.membersWithoutStatus()
                .forEach(member -> membersWithoutStatus
                        .addObject()
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
        fleet.runners().forEach(runner -> writeRunner(runners.addObject(), runner));
        ArrayNode services = root.putArray("services");
        fleet.services().forEach(service -> writeService(services.addObject(), service));
        ArrayNode workspaces = root.putArray("workspaces");
        fleet.workspaces().forEach(workspace -> writeWorkspace(workspaces.addObject(), workspace));
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

    private static void writeRunner(ObjectNode node, FleetStatus.RunnerStatus status) {
        RouterStatusDocument.Runner runner = status.runner();
        node.put("name", runner.name())
                .put("service", runner.service())
                .put("zone", runner.zone())
                .put("home", status.home())
                .put("limit", runner.limit())
                .put("running", runner.running())
                .put("reported", runner.reported())
                .put("open", runner.open());
    }

    private static void writeService(ObjectNode node, ServiceSummary service) {
        node.put("name", service.name())
                .put("free_slots", service.freeSlots())
                .put("waiting", service.waiting())
                .put("gap", service.gap())
                .put("gap_bound", service.gapBound());
    }

    private static void writeWorkspace(ObjectNode node, WorkspaceSummary workspace) {
        node.put("service", workspace.service())
                .put("workspace", workspace.workspace())
                .put("weight", workspace.weight())
                .put("share", workspace.share())
                .put("served", workspace.served())
                .put("waiting", workspace.waiting());
    }
}
