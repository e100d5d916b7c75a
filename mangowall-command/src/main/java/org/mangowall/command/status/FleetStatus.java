package org.mangowall.command.status;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.mangowall.command.client.RouterStatus;
import org.mangowall.inventory.Inventory;
import org.mangowall.inventory.Runner;
import org.mangowall.kernel.name.RunnerName;
import org.mangowall.protocol.operator.RouterStatusDocument;

/**
 * The state of the fleet, aggregated from the statuses of several routers.
 *
 * @param routers the routers that answered
 * @param unavailableRouters the named routers that returned no usable status
 * @param membersWithoutStatus the cluster members that routers list but that returned no status themselves
 * @param inventory the inventory, if it could be read
 * @param runners the runners with their home routers
 * @param services the services, aggregated over the routers
 * @param workspaces the workspaces by service, aggregated over the routers
 */
public record FleetStatus(
        List<RouterStatusDocument> routers,
        List<RouterStatus.Unavailable> unavailableRouters,
        List<RouterStatusDocument.Member> membersWithoutStatus,
        Optional<Inventory> inventory,
        List<RunnerStatus> runners,
        List<ServiceSummary> services,
        List<WorkspaceSummary> workspaces) {

    /** Makes the lists immutable. */
    public FleetStatus {
        routers = List.copyOf(routers);
        unavailableRouters = List.copyOf(unavailableRouters);
        membersWithoutStatus = List.copyOf(membersWithoutStatus);
        runners = List.copyOf(runners);
        services = List.copyOf(services);
        workspaces = List.copyOf(workspaces);
    }

    /** Aggregates the statuses of all named routers. */
    public static FleetStatus of(List<RouterStatus> statuses, Optional<Inventory> inventory) {
        List<RouterStatusDocument> routers = new ArrayList<>();
        List<RouterStatus.Unavailable> unavailable = new ArrayList<>();
        for (RouterStatus status : statuses) {
            switch (status) {
                case RouterStatus.Available available -> routers.add(available.document());
                case RouterStatus.Unavailable failed -> unavailable.add(failed);
            }
        }
        return new FleetStatus(
                routers,
                unavailable,
                membersWithoutStatus(routers),
                inventory,
                runnerStatuses(routers, inventory),
                ServiceSummary.aggregate(routers),
                WorkspaceSummary.aggregate(routers));
    }

    private static List<RouterStatusDocument.Member> membersWithoutStatus(List<RouterStatusDocument> routers) {
        Map<String, RouterStatusDocument.Member> members = new TreeMap<>();
        routers.forEach(router -> router.members().forEach(member -> members.put(member.name(), member)));
        routers.forEach(router -> members.remove(router.router()));
        return List.copyOf(members.values());
    }

    private static List<RunnerStatus> runnerStatuses(
            List<RouterStatusDocument> routers, Optional<Inventory> inventory) {
        Map<RunnerName, List<RunnerStatus>> runnerStatuses = new TreeMap<>();
        for (RouterStatusDocument router : routers) {
            for (RouterStatusDocument.Runner runner : router.runners()) {
                runnerStatuses
                        .computeIfAbsent(new RunnerName(runner.name()), name -> new ArrayList<>())
                        .add(new RunnerStatus(router.router(), runner));
            }
        }
        inventory.ifPresent(knownInventory -> knownInventory
                .runners()
                .forEach((name, runner) -> runnerStatuses.computeIfAbsent(
                        name, absentName -> List.of(withoutHome(knownInventory, runner)))));
        return runnerStatuses.values().stream().flatMap(List::stream).toList();
    }

    private static RunnerStatus withoutHome(Inventory inventory, Runner runner) {
        return new RunnerStatus(
                RunnerStatus.NO_HOME,
                new RouterStatusDocument.Runner(
                        runner.name().value(),
                        runner.service().value(),
                        runner.zone().value(),
                        0,
                        0,
                        0,
                        inventory.isOpen(runner)));
    }

    /**
     * The status of a runner as reported by its home router.
     *
     * @param home the name of the home router, or {@link #NO_HOME}
     * @param runner the reported status
     */
    public record RunnerStatus(String home, RouterStatusDocument.Runner runner) {

        /** Replaces the name of the home router when no named router is the home of the runner. */
        public static final String NO_HOME = "-";
    }
}
