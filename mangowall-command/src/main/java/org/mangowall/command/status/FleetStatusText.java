package org.mangowall.command.status;

import java.util.Locale;

import org.mangowall.command.output.TextTable;
import org.mangowall.inventory.AvailabilityZone;
import org.mangowall.inventory.Inventory;
import org.mangowall.protocol.operator.RouterStatusDocument;

/** Formats the status of the fleet as text tables. */
public final class FleetStatusText {

    private static final double PERCENT = 100;

    private final StringBuilder text = new StringBuilder();

    private FleetStatusText() {}

    /** Formats the tables without a trailing line feed. */
    public static String write(FleetStatus fleet) {
        FleetStatusText writer = new FleetStatusText();
        writer.writeRouters(fleet);
        fleet.inventory().ifPresent(inventory -> writer.writeZones(fleet, inventory));
        writer.writeRunners(fleet);
        writer.writeServices(fleet);
        writer.writeWorkspaces(fleet);
        return writer.text.toString().stripTrailing();
    }

    private void writeRouters(FleetStatus fleet) {
        TextTable table = new TextTable("ROUTER", "ZONE", "STATE", "READY", "CONFIGURATION", "KNOWS");
        for (RouterStatusDocument router : fleet.routers()) {
            long aliveMembers = router.members().stream()
                    .filter(member -> member.state().equals("alive"))
                    .count();
            table.row(
                    router.router(),
                    router.zone(),
                    router.state(),
                    router.ready() ? "yes" : "no",
                    "version " + router.configurationVersion(),
                    aliveMembers + " of " + router.members().size() + " alive");
        }
        text.append(table);
        fleet.membersWithoutStatus()
                .forEach(member -> text.append("Known, but not asked or silent: ")
                        .append(member.name() + " in " + member.zone() + ", " + member.state() + "\n"));
        fleet.unavailableRouters()
                .forEach(router -> text.append("No answer: ")
                        .append(router.failure().getMessage())
                        .append('\n'));
    }

    private void writeZones(FleetStatus fleet, Inventory inventory) {
        TextTable table = new TextTable("AVAILABILITY ZONE", "REGION", "STATE", "ROUTERS", "RUNNERS");
        for (AvailabilityZone zone : inventory.zones().values()) {
            long routers = fleet.routers().stream()
                    .filter(router -> router.zone().equals(zone.name().value()))
                    .count();
            long runners = inventory.runners().values().stream()
                    .filter(runner -> runner.zone().equals(zone.name()))
                    .count();
            table.row(zone.name(), zone.region(), zone.closed() ? "closed" : "open", routers, runners);
        }
        text.append('\n').append(table);
    }

    private void writeRunners(FleetStatus fleet) {
        TextTable table =
                new TextTable("RUNNER", "SERVICE", "ZONE", "HOME", "LIMIT", "RUNNING", "REPORTED", "NEW WORK");
        for (FleetStatus.RunnerStatus status : fleet.runners()) {
            RouterStatusDocument.Runner runner = status.runner();
            table.row(
                    runner.name(),
                    runner.service(),
                    runner.zone(),
                    status.home(),
                    runner.limit(),
                    runner.running(),
                    runner.reported(),
                    runner.open() ? "yes" : "no");
        }
        text.append('\n').append(table);
    }

    private void writeServices(FleetStatus fleet) {
        TextTable table = new TextTable("SERVICE", "FREE SLOTS", "WAITING", "GAP", "GAP BOUND");
        for (ServiceSummary service : fleet.services()) {
            table.row(
                    service.name(),
                    service.freeSlots(),
                    service.waiting(),
                    decimal(service.gap()),
                    decimal(service.gapBound()));
        }
        text.append('\n').append(table);
    }

    private void writeWorkspaces(FleetStatus fleet) {
        TextTable table = new TextTable("SERVICE", "WORKSPACE", "WEIGHT", "SHARE", "SERVED", "WAITING");
        for (WorkspaceSummary workspace : fleet.workspaces()) {
            table.row(
                    workspace.service(),
                    workspace.workspace(),
                    decimal(workspace.weight()),
                    decimal(workspace.share() * PERCENT) + "%",
                    decimal(workspace.served()),
                    workspace.waiting());
        }
        text.append('\n').append(table);
    }

    private static String decimal(double value) {
        return String.format(Locale.ROOT, "%.1f", value);
    }
}
